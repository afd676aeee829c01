package org.curranthaven.internal.settings;

import java.nio.file.Path;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Settings of one host.
 *
 * @param name name of the host, unique in the fleet
 * @param dataCentre data centre that the host runs in
 * @param httpAddress listening address for callers, backend servers and operators, as IP:PORT
 * @param peerAddress listening address for the other hosts, as IP:PORT
 * @param control whether the host votes in the consensus groups and stores the durable state
 * @param dataFolder folder of the durable state; null unless {@code control}
 * @param controlHosts peer addresses of the control hosts, which the host connects to first
 * @param ledgerGroups number of ledger groups; the same on every host
 * @param votersWanted target number of voters of each group; the same on every control host
 * @param drainMillis maximum time that a planned stop waits for open requests
 * @param maxBodyBytes maximum size of a request body
 * @param logJson whether log lines are written as JSON
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
