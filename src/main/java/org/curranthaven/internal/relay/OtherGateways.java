package org.curranthaven.internal.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.curranthaven.internal.transport.wire.KnownGateway;

/**
 * The other gateways that this one knows from the control hosts, by their addresses for callers.
 * Confined to the event loop.
 */
final class OtherGateways {
  /** Time after which an address that is not named again is forgotten. */
  static final long TTL_MILLIS = 15_000;

  /** Time for which a gateway that could not serve is not asked again. */
  static final long FAILURE_PAUSE_MILLIS = 1_000;

  private final String ownAddress;
  private final Map<String, Named> gateways = new HashMap<>();
  private final Map<String, Long> pausedUntilMillis = new HashMap<>();

  private record Named(String dataCentre, long atMillis) {}

  OtherGateways(String ownAddress) {
    this.ownAddress = ownAddress;
  }

  /** Adds or renews gateways. */
  void learn(Collection<KnownGateway> named, long nowMillis) {
    named.stream()
        .filter(gateway -> !gateway.getCallerAddress().equals(ownAddress))
        .forEach(
            gateway ->
                gateways.put(
                    gateway.getCallerAddress(), new Named(gateway.getDataCentre(), nowMillis)));
  }

  /** Records that a gateway could not be reached, or reaches no backend server itself. */
  void recordFailure(String address, long nowMillis) {
    pausedUntilMillis.put(address, nowMillis + FAILURE_PAUSE_MILLIS);
  }

  /**
   * Returns gateways in random order, those that failed lately last.
   *
   * @param allowed which data centres they may be in
   */
  List<String> inRandomOrder(Predicate<String> allowed, long nowMillis, DoubleSupplier random) {
    gateways.values().removeIf(named -> nowMillis - named.atMillis() > TTL_MILLIS);
    pausedUntilMillis.values().removeIf(until -> nowMillis >= until);
    List<String> left = new ArrayList<>();
    gateways.forEach(
        (address, named) -> {
          if (allowed.test(named.dataCentre())) {
            left.add(address);
          }
        });
    List<String> working = new ArrayList<>();
    List<String> failed = new ArrayList<>();
    while (!left.isEmpty()) {
      String address = left.remove((int) (random.getAsDouble() * left.size()));
      (pausedUntilMillis.containsKey(address) ? failed : working).add(address);
    }
    working.addAll(failed);
    return working;
  }
}
