import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the roles of deploy/system.toml as separate processes,
 * with their templates filled in, and an operator. Runs from the root of the repository.
 */
final class Lab implements AutoCloseable {
  /** Values of the users' sheet for the site that the claims name. */
  static final Map<String, String> BOUNDS = new LinkedHashMap<>();

  static {
    BOUNDS.put("graceS", "8");
    BOUNDS.put("retryRatio", "0.2");
    BOUNDS.put("retrySlack", "170");
    BOUNDS.put("retryWindowS", "10");
    BOUNDS.put("coldExcess", "1.5");
    BOUNDS.put("coldSlack", "5");
  }

  static final int HEARTBEAT_MILLIS = 1_200;

  final Path temporary;
  private final PrintWriter record;
  private final long startedNanos = System.nanoTime();
  private final int controls;
  private final int tolerated;
  private final int peerPort = freePort();
  private final int controlPort = freePort();
  private final int callerPort = freePort();
  private final int readyPort = freePort();
  final Map<String, Process> processes = new LinkedHashMap<>();
  private final List<AutoCloseable> others = new ArrayList<>();

  Lab(String caseFolder, int controls, int tolerated) throws IOException {
    this.controls = controls;
    this.tolerated = tolerated;
    this.record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
    this.temporary = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    for (int i = 1; i <= controls; i++) {
      startControl(i, true);
    }
  }

  /** Whether the run is to have the disruption. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  void record(String format, Object... values) {
    String text = values.length == 0 ? format : String.format(Locale.ROOT, format, values);
    long millis = (System.nanoTime() - startedNanos) / 1_000_000;
    synchronized (record) {
      record.printf(Locale.ROOT, "%7.3f s  %s%n", millis / 1000.0, text);
    }
  }

  /** Ends with the verdict of the case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
  void verdict(int status, String text) {
    record("verdict %d: %s", status, text);
    System.out.println("verdict " + status + ": " + text);
    killAll();
    System.exit(status);
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  // ---- processes --------------------------------------------------------------------------------

  static String controlIp(int number) {
    return "127.81.1." + number;
  }

  static String gatewayIp(int number) {
    return "127.81.2." + number;
  }

  InetSocketAddress callerAddress(int gateway) {
    return new InetSocketAddress(gatewayIp(gateway), callerPort);
  }

  InetSocketAddress controlAddress(int control) {
    return new InetSocketAddress(controlIp(control), controlPort);
  }

  Process startControl(int number, boolean firstStart) throws IOException {
    String name = "core-" + number;
    Path data = Files.createDirectories(temporary.resolve(name));
    return start(
        "control",
        name,
        controlIp(number),
        Map.of(
            "listen.control", controlIp(number) + ":" + controlPort,
            "dataDir", data.toString(),
            "bootstrap", Boolean.toString(firstStart)));
  }

  Process startGateway(int number) throws IOException {
    return start(
        "gateway",
        "front-" + number,
        gatewayIp(number),
        Map.of(
            "listen.front", gatewayIp(number) + ":" + callerPort,
            "listen.ready", gatewayIp(number) + ":" + readyPort));
  }

  private Process start(String role, String name, String ip, Map<String, String> own)
      throws IOException {
    Map<String, String> values = new TreeMap<>(own);
    values.put("nodeName", name);
    values.put("zone", "here");
    values.put("ip", ip);
    values.put("portRange.0", Integer.toString(peerPort));
    values.put("faultTolerance.machines", Integer.toString(tolerated));
    values.put("heartbeatMs", Integer.toString(HEARTBEAT_MILLIS));
    BOUNDS.forEach((key, value) -> values.put("bounds." + key, value));
    StringBuilder seeds = new StringBuilder();
    for (int i = 1; i <= Math.min(3, controls); i++) {
      seeds.append(i == 1 ? "" : ",").append('"').append(controlIp(i)).append(':');
      seeds.append(controlPort).append('"');
    }
    values.put("seeds", "[" + seeds + "]");
    values.put("zones", "{\"here\":\"region\"}");
    values.put(
        "contracts",
        "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\",\"pool\","
            + "\"engine\",\"stream\",\"tenants\",\"places\",\"pressure\"]");
    Path settings = temporary.resolve(name + ".jsonc");
    Files.writeString(settings, fill(Files.readString(Path.of(deployed(role, "template"))), values));
    List<String> command = new ArrayList<>(Arrays.asList(deployed(role, "run").split(" ")));
    command.replaceAll(word -> word.equals("/etc/curranthaven/boot.toml") ? settings.toString() : word);
    File log = temporary.resolve(name + ".log").toFile();
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
    processes.put(name, process);
    record("started %s, process %d", name, process.pid());
    return process;
  }

  /** Returns a value of a role in the deploy file. */
  private static String deployed(String role, String key) throws IOException {
    String file = Files.readString(Path.of("deploy/system.toml"));
    String section = file.substring(file.indexOf("[roles." + role + "]"));
    Matcher line = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(section);
    if (!line.find()) {
      throw new IOException("no " + key + " of role " + role + " in deploy/system.toml");
    }
    return line.group(1);
  }

  /** Fills in a template as the platform does, as far as the templates of this project need it. */
  private static String fill(String template, Map<String, String> values) {
    String text = template;
    Matcher section = Pattern.compile("\\{\\{#([^}]+)}}(.*?)\\{\\{/\\1}}").matcher(text);
    text =
        section.replaceAll(
            match ->
                Matcher.quoteReplacement(values.containsKey(match.group(1)) ? match.group(2) : ""));
    return Pattern.compile("\\{\\{([^}|]+)(\\|json)?}}")
        .matcher(text)
        .replaceAll(
            match -> {
              String value = values.getOrDefault(match.group(1), "null");
              boolean quoted =
                  match.group(2) != null
                      && !value.startsWith("[")
                      && !value.startsWith("{")
                      && !value.equals("true")
                      && !value.equals("false");
              return Matcher.quoteReplacement(quoted ? "\"" + value + "\"" : value);
            });
  }

  void signal(String name, String signal) throws Exception {
    record("signal %s to %s", signal, name);
    new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid()))
        .start()
        .waitFor();
  }

  boolean runs(String name) {
    return processes.get(name).isAlive();
  }

  /** Returns the lines of a process's log that contain the text. */
  List<String> logLines(String name, String text) throws IOException {
    try (Stream<String> lines = Files.lines(temporary.resolve(name + ".log"))) {
      return lines.filter(line -> line.contains(text)).toList();
    }
  }

  void closeAtEnd(AutoCloseable other) {
    others.add(other);
  }

  private synchronized void killAll() {
    processes.values().forEach(Process::destroyForcibly);
    for (Process process : processes.values()) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    for (AutoCloseable other : others) {
      try {
        other.close();
      } catch (Exception e) {
        // It has ended already.
      }
    }
    if (System.getenv("KEEP") == null) {
      try (Stream<Path> files = Files.walk(temporary)) {
        files.sorted((a, b) -> b.compareTo(a)).forEach(path -> path.toFile().delete());
      } catch (IOException e) {
        // Nothing is left of it.
      }
    }
  }

  @Override
  public void close() {
    killAll();
  }

  // ---- operator and runners ---------------------------------------------------------------------

  /** Sends a call to one control host after the other until it is accepted. */
  void control(String method, String path, String body, long withinMillis) throws Exception {
    long end = System.nanoTime() + withinMillis * 1_000_000;
    int last = 0;
    for (int attempt = 0; System.nanoTime() < end; attempt++) {
      last = controlOnce(1 + attempt % controls, method, path, body);
      if (last == 200) {
        return;
      }
      Thread.sleep(100);
    }
    verdict(2, method + " " + path + " was not accepted, last status " + last);
  }

  int controlOnce(int host, String method, String path, String body) {
    try (Socket socket = new Socket()) {
      socket.connect(controlAddress(host), 1_000);
      socket.setSoTimeout(4_000);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
              + "Content-Length: " + bytes.length + "\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(bytes);
      return Http.read(socket.getInputStream(), false, null).status;
    } catch (IOException e) {
      return 0;
    }
  }

  /** Waits until a gateway says that it is ready. */
  void awaitReady(int gateway) throws Exception {
    for (int i = 0; i < 300; i++) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(gatewayIp(gateway), readyPort), 1_000);
        socket.setSoTimeout(1_000);
        socket
            .getOutputStream()
            .write("GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        if (Http.read(socket.getInputStream(), false, null).status == 200) {
          record("front-%d is ready", gateway);
          return;
        }
      } catch (IOException e) {
        // It does not listen yet.
      }
      Thread.sleep(100);
    }
    verdict(2, "front-" + gateway + " is not ready");
  }

  /** An HTTP message as it was read. */
  static final class Http {
    String firstLine = "";
    int status;
    final Map<String, String> headers = new TreeMap<>();
    byte[] body = new byte[0];

    /** Whether the body ended as its framing says. */
    boolean complete;

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Gets each piece of a body as it arrives. */
    interface Pieces {
      void arrived(byte[] bytes) throws IOException;
    }

    /** Reads a message; returns null at the end of the channel before its first byte. */
    static Http read(InputStream in, boolean request, Pieces pieces) throws IOException {
      Http message = new Http();
      message.firstLine = line(in);
      if (message.firstLine.isEmpty()) {
        if (request) {
          return null;
        }
        throw new IOException("the channel ended without an answer");
      }
      if (!request) {
        message.status = Integer.parseInt(message.firstLine.split(" ")[1]);
      }
      for (String header = line(in); !header.isEmpty(); header = line(in)) {
        int colon = header.indexOf(':');
        message.headers.put(
            header.substring(0, colon).toLowerCase(Locale.ROOT),
            header.substring(colon + 1).strip());
      }
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      try {
        if (message.header("transfer-encoding").contains("chunked")) {
          message.complete = chunks(in, body, pieces);
        } else if (!message.header("content-length").isEmpty()) {
          int length = Integer.parseInt(message.header("content-length"));
          byte[] buffer = new byte[16_384];
          while (body.size() < length) {
            int count = in.read(buffer, 0, Math.min(buffer.length, length - body.size()));
            if (count < 0) {
              break;
            }
            body.write(buffer, 0, count);
            if (pieces != null) {
              pieces.arrived(Arrays.copyOf(buffer, count));
            }
          }
          message.complete = body.size() == length;
        } else {
          message.complete = request;
        }
      } catch (IOException e) {
        message.complete = false;
      }
      message.body = body.toByteArray();
      return message;
    }

    private static boolean chunks(InputStream in, ByteArrayOutputStream body, Pieces pieces)
        throws IOException {
      while (true) {
        String size = line(in);
        if (size.isEmpty()) {
          return false;
        }
        int length = Integer.parseInt(size.strip(), 16);
        byte[] chunk = in.readNBytes(length);
        if (chunk.length < length) {
          return false;
        }
        body.write(chunk);
        if (pieces != null && length > 0) {
          pieces.arrived(chunk);
        }
        line(in);
        if (length == 0) {
          return true;
        }
      }
    }

    private static String line(InputStream in) throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      int octet = in.read();
      while (octet >= 0 && octet != '\n') {
        if (octet != '\r') {
          line.write(octet);
        }
        octet = in.read();
      }
      return line.toString(StandardCharsets.ISO_8859_1);
    }
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }
}
