package org.curranthaven.internal.relay;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.CatalogWorkspace;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.gateway.ErrorBodies;
import org.curranthaven.internal.settings.Json;
import org.jspecify.annotations.Nullable;

/**
 * One connection of a caller: reads whole requests, one after the other, starts an {@link
 * RoutedRequest} for each, and writes its answer. Used on the event loop only.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {
  private static final int MAX_WAITING_REQUESTS = 32;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long DRAINING_RETRY_MILLIS = 50;
  private static final long NOT_INFORMED_RETRY_MILLIS = 1_000;

  /** Longest time for which a call waits for a catalog: a host that has started gets it soon. */
  private static final long NOT_INFORMED_WAIT_MILLIS = 900;

  /** Calls with less time than this are turned away at once instead: waiting takes most of it. */
  private static final long MIN_TIME_TO_WAIT_MILLIS = 5 * NOT_INFORMED_WAIT_MILLIS;

  private final RelayContext context;
  private final ArrayDeque<FullHttpRequest> waiting = new ArrayDeque<>();
  private @Nullable ChannelHandlerContext channel;
  private @Nullable HttpRequest collecting;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private @Nullable RoutedRequest exchange;
  private boolean keepAlive;
  private boolean headRequest;
  private boolean answering;
  private boolean closing;
  private boolean gone;
  private long lastUseMillis;
  private long partialSinceMillis = -1;

  CallerConnection(RelayContext context) {
    super(HttpObject.class);
    this.context = context;
  }

  boolean isWritable() {
    return channel != null && channel.channel().isWritable();
  }

  // ---- reading ----------------------------------------------------------------------------------

  @Override
  public void channelActive(ChannelHandlerContext active) {
    channel = active;
    lastUseMillis = context.clock().nowMillis();
    checkLater(context.catalog().limits().headerTimeoutMillis());
  }

  private void checkLater(long delayMillis) {
    context.loop().schedule(this::checkIdle, Math.max(50, delayMillis), TimeUnit.MILLISECONDS);
  }

  /** Closes a connection whose caller sends nothing, or only parts of a request, for too long. */
  private void checkIdle() {
    if (gone || closing) {
      return;
    }
    long nowMillis = context.clock().nowMillis();
    long headerMillis = context.catalog().limits().headerTimeoutMillis();
    long idleMillis = context.catalog().limits().idleTimeoutMillis();
    if (answering) {
      checkLater(idleMillis);
    } else if (partialSinceMillis >= 0) {
      long left = partialSinceMillis + headerMillis + idleMillisForBody() - nowMillis;
      if (left <= 0) {
        fail(Failure.of(ResultCode.BODY_TOO_SLOW, "the request did not arrive whole in time"));
      } else {
        checkLater(left);
      }
    } else if (nowMillis - lastUseMillis >= idleMillis) {
      close();
    } else {
      checkLater(Math.min(headerMillis, lastUseMillis + idleMillis - nowMillis));
    }
  }

  private long idleMillisForBody() {
    return collecting == null ? 0 : context.catalog().limits().idleTimeoutMillis();
  }

  /** Notes that bytes arrived which may be a part of a request. */
  void bytesArrived() {
    if (partialSinceMillis < 0) {
      partialSinceMillis = context.clock().nowMillis();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext active, HttpObject message) {
    if (closing) {
      return;
    }
    if (message.decoderResult().isFailure()) {
      malformed(message.decoderResult().cause());
      return;
    }
    if (message instanceof HttpRequest request) {
      collecting = request;
      body = new ByteArrayOutputStream();
      if (HttpUtil.is100ContinueExpected(request) && !answering) {
        active.writeAndFlush(
            new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
      }
    }
    if (message instanceof HttpContent content) {
      takeBody(content);
    }
  }

  private void malformed(Throwable cause) {
    if (answering) {
      closing = true;
      return;
    }
    boolean tooLong = cause instanceof TooLongFrameException;
    respond(
        tooLong
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST,
        Failure.of(ResultCode.MALFORMED_BODY, "the request is not HTTP as it should be"),
        false);
  }

  private void takeBody(HttpContent content) {
    HttpRequest head = collecting;
    if (head == null) {
      return;
    }
    int size = content.content().readableBytes();
    if (body.size() + size > context.catalog().limits().maxBodyBytes()) {
      collecting = null;
      fail(Failure.of(ResultCode.BODY_TOO_LARGE, "the body is larger than allowed"));
      return;
    }
    body.writeBytes(ByteBufUtil.getBytes(content.content()));
    if (content instanceof LastHttpContent) {
      collecting = null;
      partialSinceMillis = -1;
      FullHttpRequest whole =
          new DefaultFullHttpRequest(
              head.protocolVersion(),
              head.method(),
              head.uri(),
              Unpooled.wrappedBuffer(body.toByteArray()),
              head.headers(),
              EmptyHttpHeaders.INSTANCE);
      accept(whole);
    }
  }

  private void accept(FullHttpRequest request) {
    if (!answering) {
      begin(request);
    } else if (waiting.size() < MAX_WAITING_REQUESTS) {
      waiting.add(request);
    } else {
      closing = true;
    }
  }

  private void begin(FullHttpRequest request) {
    answering = true;
    keepAlive = HttpUtil.isKeepAlive(request);
    headRequest = request.method().equals(HttpMethod.HEAD);
    switch (context.protocol().readCall(request)) {
      case Outcome.Failed<InboundRequest> failed -> fail(failed.failure());
      case Outcome.Success<InboundRequest> success -> routeWhenInformed(success.value());
    }
  }

  /** Routes a call; one that comes before the catalog waits for it if it has the time. */
  private void routeWhenInformed(InboundRequest call) {
    long nowMillis = context.clock().nowMillis();
    boolean mayWait =
        call.deadlineMillis() <= 0 || call.deadlineMillis() >= MIN_TIME_TO_WAIT_MILLIS;
    if (context.isInformed()) {
      route(call, nowMillis);
    } else if (mayWait) {
      context.whenInformed(() -> routeHeld(call, nowMillis), NOT_INFORMED_WAIT_MILLIS);
    } else {
      failUninformed();
    }
  }

  private void routeHeld(InboundRequest call, long arrivedAtMillis) {
    if (gone) {
      return;
    }
    if (context.isInformed()) {
      route(call, arrivedAtMillis);
    } else {
      failUninformed();
    }
  }

  private void failUninformed() {
    fail(
        Failure.retryLater(
            ResultCode.HOST_NOT_FRESH,
            "this host does not know the catalog yet",
            NOT_INFORMED_RETRY_MILLIS));
  }

  private void route(InboundRequest call, long arrivedAtMillis) {
    Catalog catalog = context.catalog();
    Optional<Route> found = catalog.routeFor(call.host(), call.path());
    if (found.isEmpty()) {
      fail(Failure.of(ResultCode.UNKNOWN_PATH, "no route leads to " + call.path()));
      return;
    }
    Route route = found.get();
    CatalogWorkspace workspace = catalog.workspaceOf(call.key());
    if (catalog.needsKey(route) && workspace == null) {
      fail(Failure.of(ResultCode.BAD_KEY, "the key is not known"));
      return;
    }
    long allowedMillis =
        call.deadlineMillis() > 0
            ? Math.min(call.deadlineMillis(), route.timeoutMillis())
            : route.timeoutMillis();
    if (!context.mayTake(allowedMillis)) {
      fail(
          Failure.retryLater(
              ResultCode.HOST_DRAINING, "this host is being stopped", DRAINING_RETRY_MILLIS));
      return;
    }
    ServiceSpec service = catalog.service(route.serviceFor(context.draw()));
    if (service == null) {
      fail(Failure.of(ResultCode.INTERNAL, "the route's service is missing"));
      return;
    }
    boolean ranked = workspace != null && workspace.priority() >= 0 && catalog.needsKey(route);
    RoutedRequest next =
        new RoutedRequest(
            context,
            this,
            call,
            route,
            service,
            workspace == null || !catalog.needsKey(route) ? "" : workspace.name(),
            arrivedAtMillis,
            allowedMillis,
            ranked && workspace != null ? workspace.priority() : route.priority());
    exchange = next;
    context.opened(next);
    next.start();
  }

  // ---- answering --------------------------------------------------------------------------------

  /** Passes a whole answer of a backend server on, unchanged but for what concerns connections. */
  void respond(HttpResponse answer, byte[] content) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, answer.status(), Unpooled.wrappedBuffer(content));
    HopByHopHeaders.copy(
        answer.headers(), response.headers(), HopByHopHeaders.of(answer.headers()));
    write(response);
  }

  /** Answers with a failure of the system's own. */
  void fail(Failure failure) {
    boolean stays =
        failure.code() != ResultCode.BODY_TOO_LARGE && failure.code() != ResultCode.BODY_TOO_SLOW;
    respond(HttpResponseStatus.valueOf(failure.code().httpStatus()), failure, stays);
  }

  private void respond(HttpResponseStatus status, Failure failure, boolean stays) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            status,
            Unpooled.wrappedBuffer(Json.write(ErrorBodies.json(failure)).toByteArray()));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    if (failure.retryAfterMillis() > 0) {
      double seconds = (double) failure.retryAfterMillis() / MILLIS_PER_SECOND;
      response
          .headers()
          .set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", seconds));
    }
    keepAlive = keepAlive && stays;
    write(response);
  }

  private void write(FullHttpResponse response) {
    if (headRequest) {
      response.content().clear();
    }
    HttpUtil.setContentLength(response, response.content().readableBytes());
    boolean stays = staysOpen();
    if (!stays) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    answered(writeAndFlush(response), stays);
  }

  private boolean staysOpen() {
    return keepAlive && !closing && !context.isDraining();
  }

  /** Starts to pass a stream on. */
  void startStream(HttpResponse answer) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, answer.status());
    HopByHopHeaders.copy(
        answer.headers(), response.headers(), HopByHopHeaders.of(answer.headers()));
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    if (!staysOpen()) {
      keepAlive = false;
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    if (channel != null) {
      channel.write(response);
    }
  }

  /** Passes a part of a stream on. */
  void writeStream(byte[] bytes) {
    writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  /** Ends a stream as complete. */
  void endStream() {
    answered(writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), staysOpen());
  }

  /** Ends a stream so that the caller sees that it is not complete. */
  void abort() {
    close();
  }

  private @Nullable ChannelFuture writeAndFlush(HttpObject message) {
    return channel == null ? null : channel.writeAndFlush(message);
  }

  private void answered(@Nullable ChannelFuture written, boolean stays) {
    answering = false;
    exchange = null;
    lastUseMillis = context.clock().nowMillis();
    if (!stays) {
      closing = true;
      if (written != null) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
      return;
    }
    FullHttpRequest next = waiting.poll();
    if (next != null) {
      begin(next);
    }
  }

  // ---- closing ----------------------------------------------------------------------------------

  /** Closes the connection if no request is being answered or read. */
  void closeIfIdle() {
    if (!answering && collecting == null && partialSinceMillis < 0) {
      close();
    }
  }

  private void close() {
    closing = true;
    if (channel != null) {
      channel.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext active) {
    if (exchange != null) {
      exchange.callerWritable(active.channel().isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext inactive) {
    gone = true;
    closing = true;
    RoutedRequest open = exchange;
    exchange = null;
    if (open != null) {
      open.callerGone();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext active, Throwable cause) {
    active.close();
  }
}
