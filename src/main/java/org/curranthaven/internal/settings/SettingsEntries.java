package org.curranthaven.internal.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The entries of a settings file with their lines. Collects all faults instead of stopping at the
 * first one: an accessor that finds one returns a default and records it.
 *
 * <pre>{@code
 * SettingsEntries entries = new SettingsEntries(Set.of("name", "peerAddress"));
 * entries.parse(text);
 * String name = entries.text("name");
 * }</pre>
 *
 * <p>Not thread-safe.
 */
final class SettingsEntries {
  private final Set<String> knownKeys;
  private final Map<String, LocatedValue> values = new LinkedHashMap<>();
  private final List<SettingsFault> faults = new ArrayList<>();

  /** A value with the line of its key. */
  private record LocatedValue(int line, JsonNode node) {}

  SettingsEntries(Set<String> knownKeys) {
    this.knownKeys = knownKeys;
  }

  /** Returns all faults, ordered by line. */
  List<SettingsFault> faults() {
    return faults.stream().sorted(Comparator.comparingInt(SettingsFault::line)).toList();
  }

  void addFault(int line, String key, String problem, String fix) {
    faults.add(new SettingsFault(line, key, problem, fix));
  }

  /** Parses the text of a settings file; returns whether it is a JSON object. */
  boolean parse(String text) {
    try (JsonParser parser = JsonTrees.parserWithComments(text)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        addFault(1, "", "the file does not hold a JSON object", "Start from 'settings example'");
        return false;
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        readEntry(parser);
      }
      return true;
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
      addFault(
          line, "", "invalid JSON: " + e.getOriginalMessage(), "Correct the JSON at this line");
    } catch (IOException e) {
      addFault(0, "", "the settings cannot be read: " + e.getMessage(), "Name a readable file");
    }
    return false;
  }

  private void readEntry(JsonParser parser) throws IOException {
    String key = parser.currentName();
    int line = parser.currentTokenLocation().getLineNr();
    parser.nextToken();
    JsonNode node = JsonTrees.readValue(parser);
    if (!knownKeys.contains(key)) {
      addFault(line, key, "unknown key", fixForUnknownKey(key));
    } else if (values.putIfAbsent(key, new LocatedValue(line, node)) != null) {
      addFault(line, key, "the key occurs more than once", "Keep one occurrence");
    }
  }

  /** Suggests the known key that differs only in its unit, or else lists all keys. */
  private String fixForUnknownKey(String key) {
    String stem = key.replaceAll("(Seconds|Secs|Ms|Millis|Minutes|KB|MB|Kb|Mb)$", "");
    return knownKeys.stream()
        .filter(known -> !stem.equals(key) && known.startsWith(stem))
        .findFirst()
        .map(known -> "Write " + known + ", in the unit that its name gives")
        .orElse("Known keys: " + String.join(", ", knownKeys.stream().sorted().toList()));
  }

  /** Returns whether the key is present with a value other than null. */
  boolean has(String key) {
    return valueOf(key) != null;
  }

  private @Nullable LocatedValue valueOf(String key) {
    LocatedValue value = values.get(key);
    return value == null || value.node().isNull() ? null : value;
  }

  /** Returns the line of the key; 0 if it is missing. */
  int lineOf(String key) {
    LocatedValue value = values.get(key);
    return value == null ? 0 : value.line();
  }

  /** Returns a required, non-empty string. */
  String text(String key) {
    LocatedValue value = valueOf(key);
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

  /** Returns a string, or null if the key is missing or null. */
  @Nullable String optionalText(String key) {
    LocatedValue value = valueOf(key);
    if (value == null) {
      return null;
    }
    if (!value.node().isTextual()) {
      addFault(value.line(), key, "must be a string", "Write it in quotes");
    }
    return value.node().asText();
  }

  /** Returns a required, non-empty list of non-empty strings. */
  List<String> textList(String key) {
    LocatedValue value = valueOf(key);
    if (value == null) {
      addFault(0, key, "the key is missing", "Add it; see 'settings example'");
      return List.of();
    }
    List<String> result = textItems(value);
    if (!value.node().isArray() || result.isEmpty() || result.contains("")) {
      addFault(value.line(), key, "must be a non-empty list of strings", "Write [\"…\", \"…\"]");
      return List.of();
    }
    return result;
  }

  /** Returns the members of an object of non-empty strings; empty if the key is missing. */
  Map<String, String> textsByName(String key) {
    LocatedValue value = valueOf(key);
    if (value == null) {
      return Map.of();
    }
    Map<String, String> texts = new LinkedHashMap<>();
    value
        .node()
        .properties()
        .forEach(member -> texts.put(member.getKey(), textOf(member.getValue())));
    if (!value.node().isObject() || texts.containsValue("")) {
      addFault(value.line(), key, "must be an object of non-empty strings", "Write {\"…\": \"…\"}");
      return Map.of();
    }
    return texts;
  }

  private static String textOf(JsonNode node) {
    return node.isTextual() ? node.asText() : "";
  }

  /** Returns a list of non-empty strings; empty if the key is missing or null. */
  List<String> optionalTextList(String key) {
    LocatedValue value = valueOf(key);
    if (value == null) {
      return List.of();
    }
    List<String> result = textItems(value);
    if (!value.node().isArray() || result.contains("")) {
      addFault(value.line(), key, "must be a list of strings", "Write [\"…\", \"…\"] or []");
      return List.of();
    }
    return result;
  }

  private static List<String> textItems(LocatedValue value) {
    List<String> result = new ArrayList<>();
    value.node().forEach(item -> result.add(item.isTextual() ? item.asText() : ""));
    return result;
  }

  /** Returns a required address of the form IP:PORT. */
  String address(String key) {
    String text = text(key);
    if (!text.isEmpty()) {
      checkAddress(key, text);
    }
    return text;
  }

  /** Returns a required list of addresses of the form IP:PORT. */
  List<String> addresses(String key) {
    List<String> addresses = textList(key);
    addresses.forEach(address -> checkAddress(key, address));
    return addresses;
  }

  private void checkAddress(String key, String address) {
    try {
      Addresses.parse(address);
    } catch (IllegalArgumentException e) {
      addFault(
          lineOf(key), key, String.valueOf(e.getMessage()), "Write an address as 10.0.0.1:7400");
    }
  }

  /** Returns a whole number in the range, or the default if the key is missing. */
  long number(String key, long defaultValue, long min, long max) {
    LocatedValue value = valueOf(key);
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

  /** Returns a number, or 0 if the key is missing. */
  double decimal(String key) {
    LocatedValue value = valueOf(key);
    if (value == null) {
      return 0;
    }
    if (!value.node().isNumber()) {
      addFault(value.line(), key, "must be a number", "Write it without quotes");
    }
    return value.node().asDouble();
  }

  /** Returns true or false; false if the key is missing. */
  boolean flag(String key) {
    LocatedValue value = valueOf(key);
    if (value == null) {
      return false;
    }
    if (!value.node().isBoolean()) {
      addFault(value.line(), key, "must be true or false", "Write true or false");
    }
    return value.node().asBoolean();
  }
}
