package org.curranthaven.internal.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.curranthaven.api.Names;
import org.jspecify.annotations.Nullable;

/**
 * Reads and checks a host's settings, reporting every fault at once.
 *
 * <pre>{@code
 * SettingsReader reader = SettingsReader.read(Path.of("host.jsonc"));
 * if (reader.faults().isEmpty()) {
 *   start(reader.settings());
 * }
 * }</pre>
 */
public final class SettingsReader {
  private static final Set<String> KEYS =
      Set.of(
          "name",
          "dataCentre",
          "httpAddress",
          "peerAddress",
          "roles",
          "dataFolder",
          "controlHosts",
          "ledgerGroups",
          "votersWanted",
          "drainMillis",
          "maxBodyBytes",
          "logFormat");

  /** Reads one entry after the other, so that each is known with its line. */
  private static final ObjectReader ENTRY_READER =
      Json.MAPPER.reader().without(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private static final Set<String> ROLES = Set.of("gateway", "control");

  private final Map<String, LocatedValue> values = new LinkedHashMap<>();
  private final List<SettingsFault> faults = new ArrayList<>();
  private @Nullable HostSettings settings;

  private record LocatedValue(int line, JsonNode node) {}

  private SettingsReader() {}

  /** Reads and checks a file. */
  public static SettingsReader read(Path file) {
    SettingsReader reader = new SettingsReader();
    try {
      reader.parse(Files.readString(file));
    } catch (IOException e) {
      reader.addFault(0, "", "the file cannot be read: " + e.getMessage(), "Name a readable file");
    }
    return reader;
  }

  /** Reads and checks text. */
  public static SettingsReader of(String text) {
    SettingsReader reader = new SettingsReader();
    reader.parse(text);
    return reader;
  }

  /** Returns every fault found, in the order of the file. */
  public List<SettingsFault> faults() {
    return faults.stream().sorted(Comparator.comparingInt(SettingsFault::line)).toList();
  }

  /**
   * Returns the settings.
   *
   * @throws IllegalStateException if there are faults
   */
  public HostSettings settings() {
    if (settings == null) {
      throw new IllegalStateException("the settings have faults: " + faults);
    }
    return settings;
  }

  private void parse(String text) {
    try (JsonParser parser = ENTRY_READER.createParser(text)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        addFault(1, "", "the file does not hold a JSON object", "Start from 'settings example'");
        return;
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        readEntry(parser);
      }
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
      addFault(line, "", "not JSON: " + e.getOriginalMessage(), "Correct the line");
      return;
    } catch (IOException e) {
      addFault(0, "", "the text cannot be read: " + e.getMessage(), "Name a readable file");
      return;
    }
    HostSettings checked = buildSettings();
    if (faults.isEmpty()) {
      settings = checked;
    }
  }

  private void readEntry(JsonParser parser) throws IOException {
    String key = parser.currentName();
    int line = parser.currentTokenLocation().getLineNr();
    parser.nextToken();
    JsonNode node = ENTRY_READER.readTree(parser);
    if (!KEYS.contains(key)) {
      addFault(line, key, "there is no such key", fixForUnknownKey(key));
    } else if (values.putIfAbsent(key, new LocatedValue(line, node)) != null) {
      addFault(line, key, "the key stands twice", "Keep one of them");
    }
  }

  private static String fixForUnknownKey(String key) {
    String stem = key.replaceAll("(Seconds|Secs|Ms|Minutes|KB|MB|Kb|Mb)$", "");
    return KEYS.stream()
        .filter(known -> !stem.equals(key) && known.startsWith(stem))
        .findFirst()
        .map(known -> "Write " + known + "; its unit is in the name")
        .orElse("Known keys: " + String.join(", ", KEYS.stream().sorted().toList()));
  }

  private HostSettings buildSettings() {
    String name = name("name");
    String dataCentre = name("dataCentre");
    String http = address("httpAddress");
    String peer = address("peerAddress");
    boolean control = roles().contains("control");
    Path folder = dataFolder(control);
    List<String> contacts = controlHosts();
    int ledgerGroups = (int) number("ledgerGroups", 2, 1, 64);
    int voters = (int) number("votersWanted", 3, 1, 7);
    if (voters % 2 == 0) {
      addFault(lineOf("votersWanted"), "votersWanted", "must be odd", "Write 1, 3, 5 or 7");
    }
    long drain = number("drainMillis", 600_000, 0, 86_400_000);
    int body = (int) number("maxBodyBytes", 1_048_576, 1_024, 64 * 1_048_576);
    boolean logJson = logJson();
    return new HostSettings(
        name,
        dataCentre,
        http,
        peer,
        control,
        folder,
        contacts,
        ledgerGroups,
        voters,
        drain,
        body,
        logJson);
  }

  private String name(String key) {
    String text = text(key);
    if (!text.isEmpty()) {
      try {
        return Names.requireName(key, text);
      } catch (IllegalArgumentException e) {
        addFault(lineOf(key), key, String.valueOf(e.getMessage()), "Write a name such as accra-1");
      }
    }
    return text;
  }

  private String address(String key) {
    String text = text(key);
    if (!text.isEmpty()) {
      checkAddress(key, text);
    }
    return text;
  }

  private void checkAddress(String key, String address) {
    try {
      Addresses.parse(address);
    } catch (IllegalArgumentException e) {
      addFault(
          lineOf(key), key, String.valueOf(e.getMessage()), "Write an address as 10.0.0.1:7400");
    }
  }

  private String text(String key) {
    LocatedValue value = values.get(key);
    if (value == null) {
      addFault(0, key, "the key is missing", "Add it; see 'settings example'");
      return "";
    }
    if (!value.node().isTextual() || value.node().asText().isBlank()) {
      addFault(value.line(), key, "must be a text", "Write a text in quotes");
      return "";
    }
    return value.node().asText();
  }

  private List<String> textList(String key) {
    LocatedValue value = values.get(key);
    if (value == null) {
      addFault(0, key, "the key is missing", "Add it; see 'settings example'");
      return List.of();
    }
    List<String> result = new ArrayList<>();
    value.node().forEach(item -> result.add(item.isTextual() ? item.asText() : ""));
    if (!value.node().isArray() || result.isEmpty() || result.contains("")) {
      addFault(value.line(), key, "must be a list of texts", "Write [\"…\", \"…\"]");
      return List.of();
    }
    return result;
  }

  private List<String> roles() {
    List<String> roles = textList("roles");
    for (String role : roles) {
      if (!ROLES.contains(role)) {
        addFault(
            lineOf("roles"), "roles", "unknown role '" + role + "'", "Write gateway or control");
      }
    }
    return roles;
  }

  private List<String> controlHosts() {
    List<String> contacts = textList("controlHosts");
    contacts.forEach(contact -> checkAddress("controlHosts", contact));
    return contacts;
  }

  private @Nullable Path dataFolder(boolean control) {
    if (!control) {
      if (values.containsKey("dataFolder")) {
        addFault(
            lineOf("dataFolder"),
            "dataFolder",
            "only a host with the role control keeps data",
            "Remove the key, or add the role");
      }
      return null;
    }
    String text = text("dataFolder");
    if (text.isEmpty()) {
      return null;
    }
    Path folder = Path.of(text);
    if (!Files.isDirectory(folder)) {
      addFault(lineOf("dataFolder"), "dataFolder", folder + " is no folder", "Make it first");
    } else if (!Files.isWritable(folder)) {
      addFault(
          lineOf("dataFolder"), "dataFolder", folder + " cannot be written", "Change its owner");
    }
    return folder;
  }

  private long number(String key, long byDefault, long min, long max) {
    LocatedValue value = values.get(key);
    if (value == null) {
      return byDefault;
    }
    boolean whole = value.node().isIntegralNumber() && value.node().canConvertToLong();
    long number = value.node().asLong();
    if (!whole || number < min || number > max) {
      addFault(
          value.line(),
          key,
          "must be a whole number from " + min + " to " + max,
          "The default is " + byDefault);
      return byDefault;
    }
    return number;
  }

  private boolean logJson() {
    LocatedValue value = values.get("logFormat");
    if (value == null) {
      return false;
    }
    String text = value.node().asText();
    if (!text.equals("text") && !text.equals("json")) {
      addFault(value.line(), "logFormat", "unknown format '" + text + "'", "Write text or json");
    }
    return text.equals("json");
  }

  private int lineOf(String key) {
    LocatedValue value = values.get(key);
    return value == null ? 0 : value.line();
  }

  private void addFault(int line, String key, String problem, String fix) {
    faults.add(new SettingsFault(line, key, problem, fix));
  }
}
