package org.curranthaven.internal.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * Settings of a host that serves routed calls in the words of a platform.
 *
 * <pre>{@code
 * Outcome<RoutedSettings> settings = RoutedSettings.read(Path.of("host.jsonc"));
 * }</pre>
 *
 * @param name name of the host, unique in the fleet
 * @param dataCentre data centre it stands in
 * @param peerAddress address for the other hosts, as IP:PORT
 * @param callerAddress address for callers; empty on a host that takes none
 * @param readyAddress address for the balancer's readiness checks; empty on such a host
 * @param controlAddress address for backend servers and operators; empty on a host without the role
 * @param statusAddress address for operators, with metrics and state; empty for none
 * @param dataFolder folder of the durable state; empty on such a host
 * @param contacts control hosts, as IP:PORT; the port is replaced by this host's peer port
 * @param firstStart whether the whole fleet starts for the first time, on empty folders
 * @param toleratedLosses control hosts that may be lost at once, with their folders
 * @param drainSeconds longest time that a planned stop may take
 * @param retryRatio retries allowed for each call of a service
 * @param retrySlack retries allowed besides, in each window
 * @param retryWindowSeconds length of that window
 * @param registrationMillis time between two registrations of a backend server
 */
public record RoutedSettings(
    String name,
    String dataCentre,
    String peerAddress,
    @Nullable String callerAddress,
    @Nullable String readyAddress,
    @Nullable String controlAddress,
    @Nullable String statusAddress,
    @Nullable String dataFolder,
    List<String> contacts,
    boolean firstStart,
    int toleratedLosses,
    double drainSeconds,
    double retryRatio,
    double retrySlack,
    double retryWindowSeconds,
    long registrationMillis) {
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Registrations missed in a row after which a backend server counts as lost. */
  private static final long MISSED_REGISTRATIONS_LIMIT = 5;

  public RoutedSettings {
    requireText("name", name);
    requireText("dataCentre", dataCentre);
    requireText("peerAddress", peerAddress);
    Addresses.parse(peerAddress);
    contacts = List.copyOf(Objects.requireNonNull(contacts, "the key contacts is missing"));
    contacts.forEach(Addresses::parse);
    if (toleratedLosses < 0 || toleratedLosses > 3) {
      throw new IllegalArgumentException("toleratedLosses must be from 0 to 3");
    }
    if (drainSeconds <= 0 || retryWindowSeconds <= 0 || registrationMillis <= 0) {
      throw new IllegalArgumentException(
          "drainSeconds, retryWindowSeconds and registrationMillis must be above 0");
    }
    if (retryRatio < 0 || retrySlack < 0) {
      throw new IllegalArgumentException("retryRatio and retrySlack must not be negative");
    }
  }

  private static void requireText(String key, @Nullable String text) {
    if (text == null || text.isBlank()) {
      throw new IllegalArgumentException("the key " + key + " is missing or empty");
    }
  }

  /** Reads and checks a file. */
  public static Outcome<RoutedSettings> read(Path file) {
    try {
      return of(Files.readString(file));
    } catch (IOException e) {
      return Outcome.failed(
          ResultCode.SETTINGS_INVALID, file + " cannot be read: " + e.getMessage());
    }
  }

  /** Reads and checks text. */
  public static Outcome<RoutedSettings> of(String text) {
    try {
      return Outcome.success(Json.MAPPER.readValue(text, RoutedSettings.class));
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
      return Outcome.failed(
          ResultCode.SETTINGS_INVALID, "line " + line + ": " + e.getOriginalMessage());
    }
  }

  /** Returns whether the host takes callers. */
  public boolean isGateway() {
    return callerAddress != null && !callerAddress.isEmpty();
  }

  /** Returns whether the host keeps the durable state. */
  public boolean isControl() {
    return dataFolder != null && !dataFolder.isEmpty();
  }

  /** Returns the longest time that a planned stop may take. */
  public long drainMillis() {
    return (long) (drainSeconds * MILLIS_PER_SECOND);
  }

  /** Returns the length of the window in which retries are counted. */
  public long retryWindowMillis() {
    return (long) (retryWindowSeconds * MILLIS_PER_SECOND);
  }

  /** Returns the time without news after which a backend server counts as lost. */
  public long backendTimeoutMillis() {
    return MISSED_REGISTRATIONS_LIMIT * registrationMillis;
  }

  /** Returns the number of voters that bear the tolerated losses. */
  public int votersWanted() {
    return 2 * toleratedLosses + 1;
  }

  /** Returns the peer addresses of the contacts. */
  public List<String> contactPeerAddresses() {
    int peerPort = Addresses.parse(peerAddress).getPort();
    return contacts.stream()
        .map(contact -> contact.substring(0, contact.lastIndexOf(':') + 1) + peerPort)
        .distinct()
        .toList();
  }
}
