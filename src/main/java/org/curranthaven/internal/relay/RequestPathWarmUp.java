package org.curranthaven.internal.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.curranthaven.internal.clients.ClientChannel;
import org.curranthaven.internal.clients.ClientConnections;
import org.curranthaven.internal.clients.ReadTurns;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.PromptPart;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Sends requests of its own through a gateway that has just started, to a stand-in backend server
 * in the same process, so that the first requests of callers do not wait for code that has never
 * run, nor the first after the loss of the scheduler. Answers the load pattern of many gateways
 * with few requests each, all of which start, or lose their scheduler, together.
 *
 * <pre>{@code
 * RequestPathWarmUp warmUp = new RequestPathWarmUp(group, loop, clock, protocol, random, this::isBusy);
 * warmUp.start();
 * boolean ready = warmUp.isOver();
 * }</pre>
 *
 * <p>Ends by itself after {@link #MAX_DURATION_MILLIS}, and as soon as callers' requests arrive.
 */
final class RequestPathWarmUp {
  /** A gateway that is slower than this serves callers unprepared rather than not at all. */
  static final long MAX_DURATION_MILLIS = 1_000;

  static final String HOST = "warm-up.invalid";
  static final String PLAIN_PATH = "/plain/";
  static final String STREAM_PATH = "/stream/";
  static final String REJECTED_PATH = "/rejected/";

  private static final List<String> SCHEDULED_PATHS =
      List.of(PLAIN_PATH, STREAM_PATH, REJECTED_PATH, PLAIN_PATH, STREAM_PATH);

  /** Requests that are placed without a scheduler. */
  private static final List<String> LOCALLY_PLACED_PATHS = List.of(PLAIN_PATH, STREAM_PATH);

  private static final List<String> PATHS =
      Stream.concat(SCHEDULED_PATHS.stream(), LOCALLY_PLACED_PATHS.stream()).toList();

  private static final int TOKENS = 10;
  private static final byte[] BODY = new byte[100];

  private final EventLoopGroup group;
  private final EventLoop loop;
  private final Clock clock;
  private final WireProtocol protocol;
  private final BooleanSupplier busy;
  private final WarmUpContext context;
  private final RelayServer server;
  private final AtomicInteger responses = new AtomicInteger();
  private @Nullable Channel backendListener;
  private String callerAddress = "";
  private long startedAtMillis;
  private volatile boolean over;

  /**
   * Creates a warm-up, which {@link #start} starts.
   *
   * @param busy whether the gateway has requests of callers
   */
  RequestPathWarmUp(
      EventLoopGroup group,
      EventLoop loop,
      Clock clock,
      WireProtocol protocol,
      RandomGenerator random,
      BooleanSupplier busy) {
    this.group = group;
    this.loop = loop;
    this.clock = clock;
    this.protocol = protocol;
    this.busy = busy;
    this.context = new WarmUpContext(loop, clock, protocol, random);
    ClientConnections clients = ClientConnections.of(Map.of(), Long.MAX_VALUE);
    this.server =
        new RelayServer(
            group, context, new ClientChannel.Shared(clients, new ReadTurns(loop), clock));
  }

  /** Returns whether the warm-up has ended, so that the gateway may be ready. */
  boolean isOver() {
    return over;
  }

  /** Returns the number of its requests that have been responded to. */
  int responses() {
    return responses.get();
  }

  /** Starts the warm-up, which continues on the event loop; it is over if it cannot listen. */
  void start() throws InterruptedException {
    startedAtMillis = clock.nowMillis();
    try {
      listenAndSend();
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      Logger.warn("warm-up: cannot listen on a loopback address, starting without it: {}", e);
      end();
    }
  }

  private void listenAndSend() throws InterruptedException {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    server.listenForCallers(anyPort);
    InetSocketAddress callers = server.callerAddress();
    callerAddress = callers.getAddress().getHostAddress() + ":" + callers.getPort();
    Channel listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(new WarmUpBackend(protocol))
            .bind(anyPort)
            .sync()
            .channel();
    backendListener = listener;
    loop.execute(
        () -> {
          context.publishBackend((InetSocketAddress) listener.localAddress());
          sendNext();
        });
    loop.schedule(this::end, MAX_DURATION_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void sendNext() {
    if (responses.get() == PATHS.size() || busy.getAsBoolean()) {
      end();
      return;
    }
    if (responses.get() == SCHEDULED_PATHS.size()) {
      context.loseScheduler();
    }
    InboundRequest request = request(PATHS.get(responses.get()));
    context
        .pool()
        .acquire(
            callerAddress,
            request.id(),
            MAX_DURATION_MILLIS,
            connection -> {
              if (connection == null) {
                Logger.warn("warm-up: no connection to this gateway at {}", callerAddress);
                end();
              } else {
                connection.send(protocol.callerRequest(request), request.id(), new NextSender());
              }
            });
  }

  private InboundRequest request(String path) {
    return new InboundRequest(
        "warm-up-" + responses.get(),
        HOST,
        HttpMethod.POST,
        path + "request",
        path + "request",
        "",
        MAX_DURATION_MILLIS,
        TOKENS,
        TOKENS,
        TOKENS,
        List.of(PromptPart.newBuilder().setId("warm-up").setTokens(TOKENS).build()),
        "",
        "",
        EmptyHttpHeaders.INSTANCE,
        BODY);
  }

  /** Sends the next request when a response has ended. */
  private final class NextSender implements BackendConnection.ResponseListener {
    @Override
    public void onHead(ResponseHead head, HttpResponse response) {}

    @Override
    public void onContent(byte[] bytes) {}

    @Override
    public void onEnded(ResponseEnding ending) {
      responses.incrementAndGet();
      // Afterwards the connection is back in the pool.
      loop.execute(RequestPathWarmUp.this::sendNext);
    }
  }

  private void end() {
    if (over) {
      return;
    }
    over = true;
    Channel listener = backendListener;
    if (listener != null) {
      listener.close();
    }
    context.close();
    server.closeToCallers();
    Logger.info(
        "warm-up ended after {} of {} requests and {} ms",
        responses.get(),
        PATHS.size(),
        clock.nowMillis() - startedAtMillis);
  }
}
