package org.curranthaven.internal.gateway;

import java.util.Set;
import org.curranthaven.api.Configuration;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.Workspace;
import org.curranthaven.internal.membership.BackendAnnouncement;
import org.curranthaven.internal.routing.RequestAttributes;
import org.curranthaven.internal.routing.RoutingEvent;
import org.jspecify.annotations.Nullable;

/** The host's decisions, as the calls that need them see them. Thread-safe; callers block. */
public interface Router {
  /** Returns a new request number. */
  long nextRequestId();

  /** Returns the configuration in force on this host. */
  Configuration configuration();

  /** Returns whether the host may take new work: its configuration is known to be in force. */
  boolean mayServe();

  /**
   * Waits until a server is chosen for the request, or it is given up.
   *
   * @param requestName name by which the decision can be explained later
   */
  Outcome<Assignment> route(RequestAttributes request, String requestName)
      throws InterruptedException;

  /** Notes that a request has produced {@code tokens} tokens so far. */
  void progressed(long requestId, int tokens);

  /** Notes that a request has ended on its server. */
  void finished(long requestId, int tokens, RoutingEvent.RequestOutcome ending);

  /** Returns the server's latest announcement while its lease lasts, in any state. */
  @Nullable BackendAnnouncement liveBackend(String server);

  /** Returns the servers that cannot continue another server's generation. */
  Set<String> backendsWithoutTakeover();

  /**
   * Takes a request of the workspace from its fleet-wide limit; returns 0 if it is allowed, else
   * when to come back, in milliseconds.
   */
  long acquireWorkspacePermit(Workspace workspace);

  /** Notes a first attempt of a class, which earns a share of a retry. */
  void requested(String className);

  /** Takes a retry from the class's budget; returns the time to wait before it, or -1 if spent. */
  long tryRetry(String className, int failures);

  /** Returns whether the named process is alive: the host, in the given incarnation. */
  boolean isHostAlive(String host, long incarnation);
}
