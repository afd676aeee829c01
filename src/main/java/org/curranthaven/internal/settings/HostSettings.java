package org.curranthaven.internal.settings;

import java.nio.file.Path;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Settings of one host.
 *
 * @param name name of the host, unique in the fleet
 * @param dataCentre data centre it stands in
 * @param httpAddress address for callers, backend servers and operators, as IP:PORT
 * @param peerAddress address for the other hosts, as IP:PORT
 * @param control whether the host votes and keeps the durable state
 * @param dataFolder folder of the durable state; null unless {@code control}
 * @param controlHosts peer addresses of the control hosts, as first contacts
 * @param ledgerGroups number of ledger groups; the same on every host
 * @param votersWanted number of voters of each group; the same on every control host
 * @param drainMillis longest time that a planned stop waits for open requests
 * @param maxBodyBytes largest request body
 * @param logJson whether log lines are JSON
 */
public record HostSettings(
    String name,
    String dataCentre,
    String httpAddress,
    String peerAddress,
    boolean control,
    @Nullable Path dataFolder,
    List<String> controlHosts,
    int ledgerGroups,
    int votersWanted,
    long drainMillis,
    int maxBodyBytes,
    boolean logJson) {
  public HostSettings {
    controlHosts = List.copyOf(controlHosts);
  }
}
