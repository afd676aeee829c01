package org.curranthaven.internal.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
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

  private static final Set<String> ROLES = Set.of("gateway", "control");

  private final SettingsEntries entries = new SettingsEntries(KEYS);
  private @Nullable HostSettings settings;

  private SettingsReader() {}

  /** Reads and validates a settings file. */
  public static SettingsReader read(Path file) {
    SettingsReader reader = new SettingsReader();
    try {
      reader.parse(Files.readString(file));
    } catch (IOException e) {
      reader.entries.addFault(
          0, "", "the file cannot be read: " + e.getMessage(), "Name a readable file");
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
    return entries.faults();
  }

  /**
   * Returns the settings if they are valid.
   *
   * @throws IllegalStateException if there are faults
   */
  public HostSettings settings() {
    if (settings == null) {
      throw new IllegalStateException(
          "the settings are invalid; check faults() first: " + faults());
    }
    return settings;
  }

  private void parse(String text) {
    if (!entries.parse(text)) {
      return;
    }
    HostSettings candidate = buildSettings();
    if (entries.faults().isEmpty()) {
      settings = candidate;
    }
  }

  /** Validates all values; the result is usable only if there are no faults. */
  private HostSettings buildSettings() {
    String name = name("name");
    String dataCentre = name("dataCentre");
    String httpAddress = entries.address("httpAddress");
    String peerAddress = entries.address("peerAddress");
    boolean control = roles().contains("control");
    Path dataFolder = dataFolder(control);
    List<String> controlHosts = entries.addresses("controlHosts");
    int ledgerGroups = (int) entries.number("ledgerGroups", 2, 1, 64);
    int votersWanted = (int) entries.number("votersWanted", 3, 1, 7);
    if (votersWanted % 2 == 0) {
      entries.addFault(
          entries.lineOf("votersWanted"),
          "votersWanted",
          "must be odd, but is " + votersWanted,
          "Write 1, 3, 5 or 7");
    }
    long drainMillis = entries.number("drainMillis", 600_000, 0, 86_400_000);
    int maxBodyBytes = (int) entries.number("maxBodyBytes", 1_048_576, 1_024, 64 * 1_048_576);
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
    String text = entries.text(key);
    if (!text.isEmpty()) {
      try {
        return Names.requireName(key, text);
      } catch (IllegalArgumentException e) {
        entries.addFault(
            entries.lineOf(key),
            key,
            String.valueOf(e.getMessage()),
            "Write a name such as accra-1");
      }
    }
    return text;
  }

  private List<String> roles() {
    List<String> roles = entries.textList("roles");
    for (String role : roles) {
      if (!ROLES.contains(role)) {
        entries.addFault(
            entries.lineOf("roles"),
            "roles",
            "unknown role '" + role + "'",
            "Write gateway or control");
      }
    }
    return roles;
  }

  private @Nullable Path dataFolder(boolean control) {
    if (!control) {
      if (entries.has("dataFolder")) {
        entries.addFault(
            entries.lineOf("dataFolder"),
            "dataFolder",
            "only a host with the role control has a data folder",
            "Remove the key, or add the role control");
      }
      return null;
    }
    String text = entries.text("dataFolder");
    if (text.isEmpty()) {
      return null;
    }
    Path folder = Path.of(text);
    if (!Files.isDirectory(folder)) {
      entries.addFault(
          entries.lineOf("dataFolder"),
          "dataFolder",
          folder + " is not an existing folder",
          "Create it first");
    } else if (!Files.isWritable(folder)) {
      entries.addFault(
          entries.lineOf("dataFolder"),
          "dataFolder",
          folder + " is not writable",
          "Give this process write access");
    }
    return folder;
  }

  private boolean logJson() {
    String text = entries.optionalText("logFormat");
    if (text == null) {
      return false;
    }
    if (!text.equals("text") && !text.equals("json")) {
      entries.addFault(
          entries.lineOf("logFormat"),
          "logFormat",
          "unknown log format '" + text + "'",
          "Write text or json");
    }
    return text.equals("json");
  }
}
