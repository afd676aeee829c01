package org.curranthaven.internal.dispatch;

import java.util.random.RandomGenerator;

/**
 * What a host has learnt of requests and backend servers that outlives a {@link DispatchCore} and
 * is exchanged between hosts.
 *
 * @param crashes what may crash backend servers
 * @param rateLimits limits on requests that backend servers have stated
 * @param streamOrigins software versions that began streams
 * @param restTimes until when backend servers want no requests
 * @param capacities learnt performance of each backend server
 * @param retries requests and retries of the latest time
 */
public record SharedKnowledge(
    CrashEvidence crashes,
    RequestRateLimits rateLimits,
    StreamOrigins streamOrigins,
    RestTimes restTimes,
    ServerCapacities capacities,
    RetryAccounts retries) {
  /** Creates knowledge of a scheduler without anything learnt of capacities. */
  public SharedKnowledge(
      CrashEvidence crashes,
      RequestRateLimits rateLimits,
      StreamOrigins streamOrigins,
      RestTimes restTimes) {
    this(
        crashes,
        rateLimits,
        streamOrigins,
        restTimes,
        new ServerCapacities(),
        new SchedulerRetries());
  }

  /** Returns the empty knowledge of a host that places the requests of all gateways. */
  public static SharedKnowledge ofScheduler() {
    return ofScheduler(new SchedulerRetries());
  }

  /** Returns the knowledge of such a host with the given retries. */
  public static SharedKnowledge ofScheduler(SchedulerRetries retries) {
    return new SharedKnowledge(
        new CrashEvidence(),
        RequestRateLimits.ofScheduler(),
        new StreamOrigins(),
        new RestTimes(),
        new ServerCapacities(),
        retries);
  }

  /** Returns the empty knowledge of a gateway, which shares stated limits with others. */
  public static SharedKnowledge ofGateway(RandomGenerator random, GatewayRetries retries) {
    return new SharedKnowledge(
        new CrashEvidence(),
        RequestRateLimits.ofGateway(random),
        StreamOrigins.ofGateway(),
        new RestTimes(),
        new ServerCapacities(),
        retries);
  }
}
