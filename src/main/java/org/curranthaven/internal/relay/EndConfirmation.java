package org.curranthaven.internal.relay;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Confirms that a response without length or chunks ended as its backend server meant it. The
 * kernel closes the connections of a killed process in order and may accept new ones for it
 * meanwhile, so only a response to a request that was sent after the end proves that the process
 * still ran. Confined to the event loop.
 */
final class EndConfirmation {
  /**
   * Longest time to wait for a response; shorter than callers wait for the next event of a stream,
   * and than an address stays with a backend server that has ended.
   */
  static final long MAX_WAIT_MILLIS = 1_500;

  /** Time without a response after which a probe is repeated, since it may have been lost. */
  private static final long REPEAT_MILLIS = 250;

  private static final long MIN_RETRY_DELAY_MILLIS = 5;

  /** Limit on the probes of one backend server that are open at a time. */
  private static final int MAX_OPEN_PROBES = 2;

  /** Limit on the body of the response to a probe. */
  private static final int MAX_RESPONSE_BYTES = 64 * 1024;

  private final EventLoop loop;
  private final WireProtocol protocol;
  private final BackendPool pool;
  private final CrashProbe crashProbe;
  private final long maxWaitMillis;
  private final Map<String, Server> servers = new HashMap<>();
  private long probesSent;

  EndConfirmation(EventLoop loop, WireProtocol protocol, BackendPool pool, CrashProbe crashProbe) {
    this(loop, protocol, pool, crashProbe, MAX_WAIT_MILLIS);
  }

  EndConfirmation(
      EventLoop loop,
      WireProtocol protocol,
      BackendPool pool,
      CrashProbe crashProbe,
      long maxWaitMillis) {
    this.loop = loop;
    this.protocol = protocol;
    this.pool = pool;
    this.crashProbe = crashProbe;
    this.maxWaitMillis = maxWaitMillis;
  }

  /** Passes on the evidence about a response that ended with its connection just now. */
  void confirm(BackendRecord backend, ServiceSpec service, Consumer<EndEvidence> action) {
    servers
        .computeIfAbsent(backend.getId(), id -> new Server(backend, service))
        .add(new End(pool.nowMillis(), action));
  }

  /** Records a response of the backend server to a request that was sent at the given time. */
  void recordResponse(String backendId, long sentAtMillis) {
    Server server = servers.get(backendId);
    if (server != null) {
      server.recordResponse(sentAtMillis);
    }
  }

  /** Returns the number of probes sent so far. */
  long probesSent() {
    return probesSent;
  }

  /** The end of one response that waits for evidence. */
  private static final class End {
    private final long seenAtMillis;
    private final Consumer<EndEvidence> action;
    private @Nullable ScheduledFuture<?> timeout;

    End(long seenAtMillis, Consumer<EndEvidence> action) {
      this.seenAtMillis = seenAtMillis;
      this.action = action;
    }
  }

  /** The ends of responses of one backend server, and the probes for them. */
  private final class Server {
    private final BackendRecord backend;
    private final ServiceSpec service;
    private final List<End> ends = new ArrayList<>();
    private final List<Probe> openProbes = new ArrayList<>();
    private long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
    private @Nullable Probe latestProbe;

    /** Timer of the next probe; null if none is scheduled. */
    private @Nullable ScheduledFuture<?> retryTimer;

    private boolean opening;

    Server(BackendRecord backend, ServiceSpec service) {
      this.backend = backend;
      this.service = service;
    }

    void add(End end) {
      ends.add(end);
      end.timeout = loop.schedule(() -> giveUp(end), maxWaitMillis, TimeUnit.MILLISECONDS);
      if (openProbes.isEmpty() && retryTimer == null) {
        sendProbe();
      }
    }

    void recordResponse(long sentAtMillis) {
      resolve(
          ends.stream().filter(end -> end.seenAtMillis < sentAtMillis).toList(),
          EndEvidence.SERVER_RUNS);
    }

    private void giveUp(End end) {
      if (ends.contains(end)) {
        Logger.warn(
            "backend server {} at {} has sent no response for {} ms after it closed the"
                + " connection of another",
            backend.getId(),
            backend.getAddress(),
            maxWaitMillis);
        resolve(List.of(end), EndEvidence.NONE);
      }
    }

    private void resolve(List<End> resolved, EndEvidence evidence) {
      List<End> waiting = resolved.stream().filter(ends::contains).toList();
      ends.removeAll(waiting);
      waiting.forEach(end -> cancel(end.timeout));
      if (ends.isEmpty()) {
        servers.remove(backend.getId(), this);
        cancelRetry();
        List.copyOf(openProbes).forEach(Probe::abandon);
      }
      waiting.forEach(end -> end.action.accept(evidence));
    }

    /** Sends a probe over a connection of its own, where no late response can be taken for it. */
    private void sendProbe() {
      cancelRetry();
      if (opening || ends.isEmpty() || openProbes.size() >= MAX_OPEN_PROBES) {
        return;
      }
      opening = true;
      pool.open(
          backend.getAddress(),
          (connection, failure) -> {
            if (connection == null) {
              onConnectFailed(failure == ConnectFailure.REFUSED);
            } else {
              onConnected(connection);
            }
          });
    }

    private void onConnected(BackendConnection connection) {
      opening = false;
      if (ends.isEmpty()) {
        pool.offerUnused(connection);
        return;
      }
      probesSent++;
      Probe probe = new Probe(this, connection, List.copyOf(ends));
      latestProbe = probe;
      openProbes.add(probe);
      scheduleProbe(REPEAT_MILLIS);
      // Leaves time for further probes when both open ones were lost.
      probe.timeout = loop.schedule(probe::abandon, maxWaitMillis / 2, TimeUnit.MILLISECONDS);
      FullHttpRequest request =
          service.engine() == null
              ? protocol.healthRequest(backend, service.healthPath())
              : protocol.reportRequest(backend);
      connection.sendControl(request, "", probe);
    }

    private void onConnectFailed(boolean refused) {
      opening = false;
      if (refused && !ends.isEmpty()) {
        crashProbe.reportCrash(backend);
        resolve(List.copyOf(ends), EndEvidence.SERVER_CRASHED);
      } else {
        sendProbeLater();
      }
    }

    private void sendProbeLater() {
      scheduleProbe(retryDelayMillis);
      retryDelayMillis = Math.min(2 * retryDelayMillis, REPEAT_MILLIS);
    }

    private void scheduleProbe(long delayMillis) {
      cancelRetry();
      if (!ends.isEmpty()) {
        retryTimer = loop.schedule(this::sendProbe, delayMillis, TimeUnit.MILLISECONDS);
      }
    }

    private void cancelRetry() {
      cancel(retryTimer);
      retryTimer = null;
    }

    void onProbeEnded(Probe probe, boolean answered) {
      openProbes.remove(probe);
      if (answered) {
        retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
        resolve(probe.ends, EndEvidence.SERVER_RUNS);
      }
      boolean latest = probe == latestProbe;
      if (opening || (!latest && retryTimer != null)) {
        return;
      }
      // After an earlier probe, the next one is overdue and has waited for the limit.
      if (answered || !latest) {
        sendProbe();
      } else {
        sendProbeLater();
      }
    }
  }

  private static void cancel(@Nullable ScheduledFuture<?> timer) {
    if (timer != null) {
      timer.cancel(false);
    }
  }

  /** A request whose response is evidence for the ends seen before it was sent. */
  private final class Probe implements BackendConnection.ResponseListener {
    private final Server server;
    private final BackendConnection connection;
    private final List<End> ends;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private @Nullable HttpResponse response;
    private @Nullable ScheduledFuture<?> timeout;
    private boolean ended;

    Probe(Server server, BackendConnection connection, List<End> ends) {
      this.server = server;
      this.connection = connection;
      this.ends = ends;
    }

    @Override
    public void onHead(ResponseHead head, HttpResponse newResponse) {
      response = newResponse;
    }

    @Override
    public void onContent(byte[] bytes) {
      if (body.size() + bytes.length <= MAX_RESPONSE_BYTES) {
        body.writeBytes(bytes);
      } else {
        abandon();
      }
    }

    @Override
    public void onEnded(ResponseEnding ending) {
      HttpResponse received = response;
      end(
          received != null
              && !(ending instanceof ResponseEnding.BrokenOff)
              && !protocol.isFromAnother(server.backend, received, body.toByteArray()));
    }

    private void abandon() {
      if (!ended) {
        connection.cancel();
        end(false);
      }
    }

    private void end(boolean answered) {
      if (!ended) {
        ended = true;
        cancel(timeout);
        server.onProbeEnded(this, answered);
      }
    }
  }
}
