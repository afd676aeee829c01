package org.curranthaven.internal.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.catalog.DataCentreRegions;
import org.curranthaven.internal.supervision.ProcessLimits;
import org.jspecify.annotations.Nullable;

/**
 * Settings of a host that serves routed requests in the protocol of a platform.
 *
 * <pre>{@code
 * Outcome<RoutedSettings> settings = RoutedSettings.read(Path.of("host.jsonc"));
 * }</pre>
 *
 * @param name name of the host, unique in the fleet
 * @param dataCentre data centre that the host runs in
 * @param peerAddress listening address for the other hosts, as IP:PORT
 * @param callerAddress listening address for callers; empty on a host that is not a gateway
 * @param readyAddress listening address for the load balancer's readiness checks; empty for none
 * @param controlAddress listening address for backend servers and operators; empty on a host that
 *     is not a control host
 * @param statusAddress listening address for metrics and the state dump; empty for none
 * @param dataFolder folder of the durable state; empty on a host that is not a control host
 * @param contacts control hosts, as IP:PORT; the port is replaced by this host's peer port
 * @param firstStart whether the whole fleet starts for the first time, with empty data folders, and
 *     bootstraps the consensus group
 * @param toleratedLosses number of control hosts that may be lost at once, with their data folders
 * @param drainSeconds maximum duration of a planned stop
 * @param retryRatio retries of a service allowed per request
 * @param retrySlack retries of a service allowed per window in addition to the ratio
 * @param retryWindowSeconds length of the sliding window in which retries are counted
 * @param registrationMillis interval at which a backend server renews its registration
 * @param coldServerBound bound on the requests that arrive at a cold backend server, which the
 *     system keeps by sending no more than the rate of its service; null if the platform states
 *     none
 * @param regions regions of the data centres
 * @param protocolFeatures functions that the deployment asks for, by their names in the protocol
 * @param bodyMemoryBytes bound on the bodies that a gateway holds for all connections together; 0
 *     for a part of the heap
 * @param maxDescriptors limit on the descriptors that the process may open, from which the limits
 *     on connections follow; 0 for the limit of the operating system
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
    long registrationMillis,
    @Nullable ColdServerBound coldServerBound,
    DataCentreRegions regions,
    List<String> protocolFeatures,
    long bodyMemoryBytes,
    int maxDescriptors) {
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Most losses for which a voter group is practical: seven voters. */
  private static final int MAX_TOLERATED_LOSSES = 3;

  private static final Set<String> KEYS =
      Set.of(
          "name",
          "dataCentre",
          "peerAddress",
          "callerAddress",
          "readyAddress",
          "controlAddress",
          "statusAddress",
          "dataFolder",
          "contacts",
          "firstStart",
          "toleratedLosses",
          "drainSeconds",
          "retryRatio",
          "retrySlack",
          "retryWindowSeconds",
          "registrationMillis",
          ColdServerBound.EXCESS_KEY,
          ColdServerBound.SLACK_KEY,
          "regions",
          "protocolFeatures",
          "bodyMemoryBytes",
          "maxDescriptors");

  /** Number of consecutive missed registrations after which a backend server is removed. */
  private static final long MISSED_REGISTRATIONS_LIMIT = 5;

  public RoutedSettings {
    requireText("name", name);
    requireText("dataCentre", dataCentre);
    requireText("peerAddress", peerAddress);
    Addresses.parse(peerAddress);
    contacts =
        List.copyOf(
            Objects.requireNonNull(
                contacts, "the key contacts is missing; list the addresses of the control hosts"));
    contacts.forEach(Addresses::parse);
    protocolFeatures = List.copyOf(protocolFeatures);
    if (toleratedLosses < 0 || toleratedLosses > MAX_TOLERATED_LOSSES) {
      throw new IllegalArgumentException(
          "toleratedLosses is "
              + toleratedLosses
              + "; it must be from 0 to "
              + MAX_TOLERATED_LOSSES);
    }
    if (drainSeconds <= 0 || retryWindowSeconds <= 0 || registrationMillis <= 0) {
      throw new IllegalArgumentException(
          "drainSeconds, retryWindowSeconds and registrationMillis must be above 0");
    }
    if (retryRatio < 0 || retrySlack < 0) {
      throw new IllegalArgumentException("retryRatio and retrySlack must not be negative");
    }
  }

  /** Creates settings without what a deployment may ask for beyond the required keys. */
  public RoutedSettings(
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
    this(
        name,
        dataCentre,
        peerAddress,
        callerAddress,
        readyAddress,
        controlAddress,
        statusAddress,
        dataFolder,
        contacts,
        firstStart,
        toleratedLosses,
        drainSeconds,
        retryRatio,
        retrySlack,
        retryWindowSeconds,
        registrationMillis,
        null,
        new DataCentreRegions(Map.of()),
        List.of(),
        0,
        0);
  }

  private static void requireText(String key, @Nullable String text) {
    if (text == null || text.isBlank()) {
      throw new IllegalArgumentException(
          "the key " + key + " is missing or empty; set it to a non-empty string");
    }
  }

  /** Reads and validates a settings file. */
  public static Outcome<RoutedSettings> read(Path file) {
    try {
      return of(Files.readString(file));
    } catch (IOException e) {
      return Outcome.failed(
          ResultCode.SETTINGS_INVALID,
          "settings file "
              + file
              + " cannot be read ("
              + e.getMessage()
              + "); name a readable file");
    }
  }

  /** Parses and validates the text of a settings file. */
  public static Outcome<RoutedSettings> of(String text) {
    SettingsEntries entries = new SettingsEntries(KEYS);
    if (entries.parse(text)) {
      try {
        RoutedSettings settings = build(entries);
        if (entries.faults().isEmpty()) {
          return Outcome.success(settings);
        }
      } catch (IllegalArgumentException e) {
        entries.addFault(0, "", String.valueOf(e.getMessage()), "Correct the settings");
      }
    }
    return Outcome.failed(
        ResultCode.SETTINGS_INVALID,
        entries.faults().stream()
            .map(fault -> fault.format("settings"))
            .collect(Collectors.joining(" ")));
  }

  private static RoutedSettings build(SettingsEntries entries) {
    return new RoutedSettings(
        entries.text("name"),
        entries.text("dataCentre"),
        entries.address("peerAddress"),
        entries.optionalText("callerAddress"),
        entries.optionalText("readyAddress"),
        entries.optionalText("controlAddress"),
        entries.optionalText("statusAddress"),
        entries.optionalText("dataFolder"),
        entries.addresses("contacts"),
        entries.flag("firstStart"),
        (int) entries.number("toleratedLosses", 0, 0, MAX_TOLERATED_LOSSES),
        entries.decimal("drainSeconds"),
        entries.decimal("retryRatio"),
        entries.decimal("retrySlack"),
        entries.decimal("retryWindowSeconds"),
        entries.number("registrationMillis", 0, 1, Long.MAX_VALUE),
        ColdServerBound.read(entries),
        new DataCentreRegions(entries.textsByName("regions")),
        entries.optionalTextList("protocolFeatures"),
        entries.number("bodyMemoryBytes", 0, 0, Long.MAX_VALUE),
        (int) entries.number("maxDescriptors", 0, 0, Integer.MAX_VALUE));
  }

  /** Returns whether the host accepts requests from callers. */
  public boolean isGateway() {
    return callerAddress != null && !callerAddress.isEmpty();
  }

  /** Returns whether the host stores the durable state. */
  public boolean isControl() {
    return dataFolder != null && !dataFolder.isEmpty();
  }

  /** Returns the number of descriptors that the process may open. */
  public int descriptorLimit() {
    int processLimit = ProcessLimits.descriptors();
    return maxDescriptors > 0 ? Math.min(maxDescriptors, processLimit) : processLimit;
  }

  /** Returns the maximum duration of a planned stop. */
  public long drainMillis() {
    return (long) (drainSeconds * MILLIS_PER_SECOND);
  }

  /** Returns the length of the window in which retries are counted. */
  public long retryWindowMillis() {
    return (long) (retryWindowSeconds * MILLIS_PER_SECOND);
  }

  /** Returns the time without a registration after which a backend server is removed. */
  public long backendTimeoutMillis() {
    return MISSED_REGISTRATIONS_LIMIT * registrationMillis;
  }

  /** Returns the number of voters that keep a majority after the tolerated losses. */
  public int votersWanted() {
    return 2 * toleratedLosses + 1;
  }

  /** Returns the addresses of the contacts, with this host's peer port. */
  public List<String> contactPeerAddresses() {
    int peerPort = Addresses.parse(peerAddress).getPort();
    return contacts.stream()
        .map(contact -> contact.substring(0, contact.lastIndexOf(':') + 1) + peerPort)
        .distinct()
        .toList();
  }
}
