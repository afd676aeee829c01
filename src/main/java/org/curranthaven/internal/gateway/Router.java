package org.curranthaven.internal.gateway;

import java.util.Set;
import org.curranthaven.api.Configuration;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.Workspace;
import org.curranthaven.internal.membership.BackendAnnouncement;
import org.curranthaven.internal.routing.RequestAttributes;
import org.curranthaven.internal.routing.RoutingEvent;
import org.jspecify.annotations.Nullable;

/** Routing decisions of the host, for the threads that handle requests. Thread-safe; blocking. */
public interface Router {
  /** Returns a new request number; every attempt has its own. */
  long nextRequestId();

  /** Returns the configuration that is active on this host. */
  Configuration configuration();

  /**
   * Returns whether the host may accept requests, i.e. its configuration is known to be current.
   */
  boolean mayServe();

  /**
   * Waits until a backend server is chosen for the request or the request is rejected.
   *
   * @param request attributes of the attempt
   * @param externalRequestId value of X-Request-Id, by which operators look up the decision
   */
  Outcome<Assignment> route(RequestAttributes request, String externalRequestId)
      throws InterruptedException;

  /** Records that a request has produced {@code tokens} tokens so far. */
  void progressed(long requestId, int tokens);

  /** Records that an attempt has ended on its backend server. */
  void finished(long requestId, int tokens, RoutingEvent.RequestOutcome outcome);

  /** Returns a backend server's latest announcement, in any state, or null if its lease expired. */
  @Nullable BackendAnnouncement liveBackend(String backend);

  /** Returns the backend servers that cannot continue a generation of another one. */
  Set<String> backendsWithoutTakeover();

  /**
   * Counts a request against the fleet-wide rate limit of its workspace. Returns 0 if the request
   * is allowed, else the delay until a retry, in milliseconds.
   */
  long acquireWorkspacePermit(Workspace workspace);

  /** Records a first attempt of a class, which adds a fraction of a retry to its budget. */
  void requested(String className);

  /**
   * Consumes a retry of the class's budget; returns its delay in ms, or -1 if there is none left.
   */
  long tryRetry(String className, int failedAttempts);

  /** Returns whether the given incarnation of the host is alive. */
  boolean isHostAlive(String host, long incarnation);
}
