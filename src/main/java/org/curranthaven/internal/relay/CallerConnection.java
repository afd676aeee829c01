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
  private static final int MAX_QUEUED_REQUESTS = 32;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long DRAINING_RETRY_MILLIS = 50;
  private static final long NOT_INITIALIZED_RETRY_MILLIS = 1_000;

  /** Longest time for which a call waits for a catalog: a host that has started gets it soon. */
  private static final long INITIALIZATION_WAIT_MILLIS = 900;

  /** Calls with less time than this are turned away at once instead: waiting takes most of it. */
  private static final long MIN_DEADLINE_TO_WAIT_MILLIS = 5 * INITIALIZATION_WAIT_MILLIS;

  private final RelayContext context;
  private final ArrayDeque<FullHttpRequest> queuedRequests = new ArrayDeque<>();
  private @Nullable ChannelHandlerContext channelContext;
  private @Nullable HttpRequest incompleteRequest;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private @Nullable RoutedRequest currentRequest;
  private boolean keepAlive;
  private boolean headRequest;
  private boolean responding;
  private boolean closing;
  private boolean disconnected;
  private long lastActivityMillis;
  private long partialRequestSinceMillis = -1;

  CallerConnection(RelayContext context) {
    super(HttpObject.class);
    this.context = context;
  }

  boolean isWritable() {
    return channelContext != null && channelContext.channel().isWritable();
  }

  // ---- reading ----------------------------------------------------------------------------------

  @Override
  public void channelActive(ChannelHandlerContext active) {
    channelContext = active;
    lastActivityMillis = context.clock().nowMillis();
    scheduleIdleCheck(context.catalog().limits().headerTimeoutMillis());
  }

  private void scheduleIdleCheck(long delayMillis) {
    context.loop().schedule(this::checkIdle, Math.max(50, delayMillis), TimeUnit.MILLISECONDS);
  }

  /** Closes a connection whose caller sends nothing, or only parts of a request, for too long. */
  private void checkIdle() {
    if (disconnected || closing) {
      return;
    }
    long nowMillis = context.clock().nowMillis();
    long headerMillis = context.catalog().limits().headerTimeoutMillis();
    long idleMillis = context.catalog().limits().idleTimeoutMillis();
    if (responding) {
      scheduleIdleCheck(idleMillis);
    } else if (partialRequestSinceMillis >= 0) {
      long left = partialRequestSinceMillis + headerMillis + bodyTimeoutMillis() - nowMillis;
      if (left <= 0) {
        fail(Failure.of(ResultCode.BODY_TOO_SLOW, "the request did not arrive whole in time"));
      } else {
        scheduleIdleCheck(left);
      }
    } else if (nowMillis - lastActivityMillis >= idleMillis) {
      close();
    } else {
      scheduleIdleCheck(Math.min(headerMillis, lastActivityMillis + idleMillis - nowMillis));
    }
  }

  private long bodyTimeoutMillis() {
    return incompleteRequest == null ? 0 : context.catalog().limits().idleTimeoutMillis();
  }

  /** Notes that bytes arrived which may be a part of a request. */
  void onBytesReceived() {
    if (partialRequestSinceMillis < 0) {
      partialRequestSinceMillis = context.clock().nowMillis();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext active, HttpObject message) {
    if (closing) {
      return;
    }
    if (message.decoderResult().isFailure()) {
      rejectMalformed(message.decoderResult().cause());
      return;
    }
    if (message instanceof HttpRequest request) {
      incompleteRequest = request;
      body = new ByteArrayOutputStream();
      if (HttpUtil.is100ContinueExpected(request) && !responding) {
        active.writeAndFlush(
            new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
      }
    }
    if (message instanceof HttpContent content) {
      handleBody(content);
    }
  }

  private void rejectMalformed(Throwable cause) {
    if (responding) {
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

  private void handleBody(HttpContent content) {
    HttpRequest head = incompleteRequest;
    if (head == null) {
      return;
    }
    int size = content.content().readableBytes();
    if (body.size() + size > context.catalog().limits().maxBodyBytes()) {
      incompleteRequest = null;
      fail(Failure.of(ResultCode.BODY_TOO_LARGE, "the body is larger than allowed"));
      return;
    }
    body.writeBytes(ByteBufUtil.getBytes(content.content()));
    if (content instanceof LastHttpContent) {
      incompleteRequest = null;
      partialRequestSinceMillis = -1;
      FullHttpRequest whole =
          new DefaultFullHttpRequest(
              head.protocolVersion(),
              head.method(),
              head.uri(),
              Unpooled.wrappedBuffer(body.toByteArray()),
              head.headers(),
              EmptyHttpHeaders.INSTANCE);
      processOrQueue(whole);
    }
  }

  private void processOrQueue(FullHttpRequest request) {
    if (!responding) {
      process(request);
    } else if (queuedRequests.size() < MAX_QUEUED_REQUESTS) {
      queuedRequests.add(request);
    } else {
      closing = true;
    }
  }

  private void process(FullHttpRequest request) {
    responding = true;
    keepAlive = HttpUtil.isKeepAlive(request);
    headRequest = request.method().equals(HttpMethod.HEAD);
    switch (context.protocol().readRequest(request)) {
      case Outcome.Failed<InboundRequest> failed -> fail(failed.failure());
      case Outcome.Success<InboundRequest> success -> routeWhenInitialized(success.value());
    }
  }

  /** Routes a call; one that comes before the catalog waits for it if it has the time. */
  private void routeWhenInitialized(InboundRequest call) {
    long nowMillis = context.clock().nowMillis();
    boolean mayWait =
        call.deadlineMillis() <= 0 || call.deadlineMillis() >= MIN_DEADLINE_TO_WAIT_MILLIS;
    if (context.isInitialized()) {
      route(call, nowMillis);
    } else if (mayWait) {
      context.whenInitialized(() -> routeDeferred(call, nowMillis), INITIALIZATION_WAIT_MILLIS);
    } else {
      failNotInitialized();
    }
  }

  private void routeDeferred(InboundRequest call, long arrivedAtMillis) {
    if (disconnected) {
      return;
    }
    if (context.isInitialized()) {
      route(call, arrivedAtMillis);
    } else {
      failNotInitialized();
    }
  }

  private void failNotInitialized() {
    fail(
        Failure.retryLater(
            ResultCode.HOST_NOT_FRESH,
            "this host does not know the catalog yet",
            NOT_INITIALIZED_RETRY_MILLIS));
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
    if (!context.mayAccept(allowedMillis)) {
      fail(
          Failure.retryLater(
              ResultCode.HOST_DRAINING, "this host is being stopped", DRAINING_RETRY_MILLIS));
      return;
    }
    ServiceSpec service = catalog.service(route.serviceFor(context.nextRandom()));
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
    currentRequest = next;
    context.requestOpened(next);
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
    finishResponse(writeAndFlush(response), stays);
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
    if (channelContext != null) {
      channelContext.write(response);
    }
  }

  /** Passes a part of a stream on. */
  void writeStream(byte[] bytes) {
    writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  /** Ends a stream as complete. */
  void endStream() {
    finishResponse(writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), staysOpen());
  }

  /** Ends a stream so that the caller sees that it is not complete. */
  void abort() {
    close();
  }

  private @Nullable ChannelFuture writeAndFlush(HttpObject message) {
    return channelContext == null ? null : channelContext.writeAndFlush(message);
  }

  private void finishResponse(@Nullable ChannelFuture written, boolean stays) {
    responding = false;
    currentRequest = null;
    lastActivityMillis = context.clock().nowMillis();
    if (!stays) {
      closing = true;
      if (written != null) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
      return;
    }
    FullHttpRequest next = queuedRequests.poll();
    if (next != null) {
      process(next);
    }
  }

  // ---- closing ----------------------------------------------------------------------------------

  /** Closes the connection if no request is being answered or read. */
  void closeIfIdle() {
    if (!responding && incompleteRequest == null && partialRequestSinceMillis < 0) {
      close();
    }
  }

  private void close() {
    closing = true;
    if (channelContext != null) {
      channelContext.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext active) {
    if (currentRequest != null) {
      currentRequest.onCallerWritabilityChanged(active.channel().isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext inactive) {
    disconnected = true;
    closing = true;
    RoutedRequest open = currentRequest;
    currentRequest = null;
    if (open != null) {
      open.onCallerDisconnected();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext active, Throwable cause) {
    active.close();
  }
}
