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
 * Reads and validates the settings of a host, and collects all faults instead of stopping at the
 * first one.
 *
 * <pre>{@code
 * SettingsReader reader = SettingsReader.read(Path.of("host.jsonc"));
 * if (reader.faults().isEmpty()) {
 *   start(reader.settings());
 * }
 * }</pre>
 *
 * <p>Not thread-safe.
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

  /** Reads the entries one by one, so that the line of each is known. */
  private static final ObjectReader ENTRY_READER =
      Json.MAPPER.reader().without(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private static final Set<String> ROLES = Set.of("gateway", "control");

  private final Map<String, LocatedValue> values = new LinkedHashMap<>();
  private final List<SettingsFault> faults = new ArrayList<>();
  private @Nullable HostSettings settings;

  /** A value with the line of its key. */
  private record LocatedValue(int line, JsonNode node) {}

  private SettingsReader() {}

  /** Reads and validates a settings file. */
  public static SettingsReader read(Path file) {
    SettingsReader reader = new SettingsReader();
    try {
      reader.parse(Files.readString(file));
    } catch (IOException e) {
      reader.addFault(0, "", "the file cannot be read: " + e.getMessage(), "Name a readable file");
    }
    return reader;
  }

  /** Parses and validates the text of a settings file. */
  public static SettingsReader of(String text) {
    SettingsReader reader = new SettingsReader();
    reader.parse(text);
    return reader;
  }

  /** Returns all faults, ordered by line. */
  public List<SettingsFault> faults() {
    return faults.stream().sorted(Comparator.comparingInt(SettingsFault::line)).toList();
  }

  /**
   * Returns the settings if they are valid.
   *
   * @throws IllegalStateException if there are faults
   */
  public HostSettings settings() {
    if (settings == null) {
      throw new IllegalStateException("the settings are invalid; check faults() first: " + faults);
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
      addFault(
          line, "", "invalid JSON: " + e.getOriginalMessage(), "Correct the JSON at this line");
      return;
    } catch (IOException e) {
      addFault(0, "", "the settings cannot be read: " + e.getMessage(), "Name a readable file");
      return;
    }
    HostSettings candidate = buildSettings();
    if (faults.isEmpty()) {
      settings = candidate;
    }
  }

  private void readEntry(JsonParser parser) throws IOException {
    String key = parser.currentName();
    int line = parser.currentTokenLocation().getLineNr();
    parser.nextToken();
    JsonNode node = ENTRY_READER.readTree(parser);
    if (!KEYS.contains(key)) {
      addFault(line, key, "unknown key", fixForUnknownKey(key));
    } else if (values.putIfAbsent(key, new LocatedValue(line, node)) != null) {
      addFault(line, key, "the key occurs more than once", "Keep one occurrence");
    }
  }

  /** Suggests the known key that differs only in its unit, or else lists all keys. */
  private static String fixForUnknownKey(String key) {
    String stem = key.replaceAll("(Seconds|Secs|Ms|Minutes|KB|MB|Kb|Mb)$", "");
    return KEYS.stream()
        .filter(known -> !stem.equals(key) && known.startsWith(stem))
        .findFirst()
        .map(known -> "Write " + known + ", in the unit that its name gives")
        .orElse("Known keys: " + String.join(", ", KEYS.stream().sorted().toList()));
  }

  /** Validates all values; the result is usable only if there are no faults. */
  private HostSettings buildSettings() {
    String name = name("name");
    String dataCentre = name("dataCentre");
    String httpAddress = address("httpAddress");
    String peerAddress = address("peerAddress");
    boolean control = roles().contains("control");
    Path dataFolder = dataFolder(control);
    List<String> controlHosts = controlHosts();
    int ledgerGroups = (int) number("ledgerGroups", 2, 1, 64);
    int votersWanted = (int) number("votersWanted", 3, 1, 7);
    if (votersWanted % 2 == 0) {
      addFault(
          lineOf("votersWanted"),
          "votersWanted",
          "must be odd, but is " + votersWanted,
          "Write 1, 3, 5 or 7");
    }
    long drainMillis = number("drainMillis", 600_000, 0, 86_400_000);
    int maxBodyBytes = (int) number("maxBodyBytes", 1_048_576, 1_024, 64 * 1_048_576);
    boolean logJson = logJson();
    return new HostSettings(
        name,
        dataCentre,
        httpAddress,
        peerAddress,
        control,
        dataFolder,
        controlHosts,
        ledgerGroups,
        votersWanted,
        drainMillis,
        maxBodyBytes,
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
      addFault(value.line(), key, "must be a non-empty string", "Write it in quotes");
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
      addFault(value.line(), key, "must be a non-empty list of strings", "Write [\"…\", \"…\"]");
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
    List<String> addresses = textList("controlHosts");
    addresses.forEach(address -> checkAddress("controlHosts", address));
    return addresses;
  }

  private @Nullable Path dataFolder(boolean control) {
    if (!control) {
      if (values.containsKey("dataFolder")) {
        addFault(
            lineOf("dataFolder"),
            "dataFolder",
            "only a host with the role control has a data folder",
            "Remove the key, or add the role control");
      }
      return null;
    }
    String text = text("dataFolder");
    if (text.isEmpty()) {
      return null;
    }
    Path folder = Path.of(text);
    if (!Files.isDirectory(folder)) {
      addFault(
          lineOf("dataFolder"),
          "dataFolder",
          folder + " is not an existing folder",
          "Create it first");
    } else if (!Files.isWritable(folder)) {
      addFault(
          lineOf("dataFolder"),
          "dataFolder",
          folder + " is not writable",
          "Give this process write access");
    }
    return folder;
  }

  private long number(String key, long defaultValue, long min, long max) {
    LocatedValue value = values.get(key);
    if (value == null) {
      return defaultValue;
    }
    boolean isWholeNumber = value.node().isIntegralNumber() && value.node().canConvertToLong();
    long number = value.node().asLong();
    if (!isWholeNumber || number < min || number > max) {
      addFault(
          value.line(),
          key,
          "must be a whole number from " + min + " to " + max,
          "Correct the value, or remove the key for the default " + defaultValue);
      return defaultValue;
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
      addFault(
          value.line(), "logFormat", "unknown log format '" + text + "'", "Write text or json");
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
