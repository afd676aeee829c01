package org.curranthaven.internal.relay;

import io.netty.buffer.ByteBuf;
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
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Locale;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.catalog.HomeRegions;
import org.curranthaven.internal.clients.ClientLink;
import org.curranthaven.internal.clients.MemoryInUseException;
import org.curranthaven.internal.gateway.ErrorBodies;
import org.curranthaven.internal.settings.JsonTrees;
import org.curranthaven.internal.supervision.FatalErrors;
import org.curranthaven.internal.transport.EventLoops;
import org.jspecify.annotations.Nullable;

/**
 * One connection of a caller. Reads requests one after the other, starts a {@link RoutedRequest}
 * for each, and writes its response. Confined to the event loop.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {
  /**
   * Limit on the requests that wait for the response to an earlier one; the connection is closed
   * after the present response if the caller sends more.
   */
  private static final int MAX_PIPELINED_REQUESTS = 32;

  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long MIN_IDLE_CHECK_DELAY_MILLIS = 50;

  /** Time after a connection was opened, or a response sent, in which a request usually follows. */
  private static final long MIN_IDLE_MILLIS = 150;

  /**
   * Longest time for which a request waits for the catalog, which a host receives soon after its
   * start.
   */
  private static final long INITIALIZATION_WAIT_MILLIS = 900;

  /**
   * Shortest deadline with which a request waits for the catalog. A request with less time is
   * rejected at once, because the wait could use up most of it.
   */
  private static final long MIN_DEADLINE_TO_WAIT_MILLIS = 5 * INITIALIZATION_WAIT_MILLIS;

  private final RelayContext context;
  private final ClientLink client;
  private final ConnectionTimers timers;
  private final ArrayDeque<ReceivedRequest> pipelinedRequests = new ArrayDeque<>();
  private @Nullable ChannelHandlerContext channelContext;
  private @Nullable HttpRequest incompleteRequest;
  private @Nullable IncomingBody body;
  private RequestFingerprint.@Nullable Builder fingerprint;
  private BodyMemory.@Nullable Reservation currentBodyMemory;
  private @Nullable ResponseMemory responseMemory;

  /** Writes the rest of a large response; null if there is none. */
  private @Nullable BodyWriter responseWriter;

  private boolean keepOpenAfterResponse;
  private @Nullable CallerRequest currentRequest;
  private boolean keepAlive;
  private boolean headRequest;
  private boolean responding;
  private boolean closing;

  /** Whether the responses before are to be read by the caller before its next request starts. */
  private boolean awaitingReader;

  private boolean disconnected;
  private long lastActivityMillis;
  private long partialRequestSinceMillis = -1;
  private long bodyWaitedMillis;

  /** Whether the rest of a rejected request is read and dropped before the connection closes. */
  private boolean dropping;

  /**
   * A request with its complete body.
   *
   * @param fingerprint fingerprint of the request
   * @param bodyMemory memory of the body; null if it has none
   * @param waitedMillis time for which the body waited for its memory
   */
  private record ReceivedRequest(
      FullHttpRequest request,
      long fingerprint,
      BodyMemory.@Nullable Reservation bodyMemory,
      long waitedMillis) {}

  CallerConnection(RelayContext context, ClientLink client) {
    super(HttpObject.class);
    this.context = context;
    this.client = client;
    this.timers = new ConnectionTimers(context.loop());
  }

  boolean isWritable() {
    return channelContext != null && channelContext.channel().isWritable();
  }

  // ---- reading ----------------------------------------------------------------------------------

  @Override
  public void channelActive(ChannelHandlerContext handlerContext) {
    channelContext = handlerContext;
    lastActivityMillis = context.clock().nowMillis();
    scheduleIdleCheck(context.catalog().limits().headerTimeoutMillis());
  }

  private void scheduleIdleCheck(long delayMillis) {
    timers.schedule(this::checkIdle, Math.max(MIN_IDLE_CHECK_DELAY_MILLIS, delayMillis));
  }

  /**
   * Closes a connection on which the caller sends nothing, or only part of a request, for too long.
   */
  private void checkIdle() {
    long nowMillis = context.clock().nowMillis();
    long headerMillis = context.catalog().limits().headerTimeoutMillis();
    long idleMillis = context.catalog().limits().idleTimeoutMillis();
    boolean unread = (closing && !responding) || responseWriter != null || awaitingReader;
    if (unread && nowMillis - lastActivityMillis >= idleMillis) {
      close();
    } else if (responding || closing) {
      scheduleIdleCheck(idleMillis);
    } else if (partialRequestSinceMillis >= 0) {
      long leftMillis = partialRequestSinceMillis + headerMillis + bodyTimeoutMillis() - nowMillis;
      if (leftMillis <= 0) {
        fail(
            Failure.of(
                ResultCode.BODY_TOO_SLOW,
                "the request was not complete "
                    + (nowMillis - partialRequestSinceMillis)
                    + " ms after its first byte; send it again on a new connection"));
      } else {
        scheduleIdleCheck(leftMillis);
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

  /** Records when the first byte of the next request was received. */
  void onBytesReceived() {
    if (partialRequestSinceMillis < 0) {
      partialRequestSinceMillis = context.clock().nowMillis();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext handlerContext, HttpObject message) {
    if (closing) {
      if (dropping && message instanceof LastHttpContent) {
        handlerContext.close();
      }
      return;
    }
    if (message.decoderResult().isFailure()) {
      rejectMalformed(message.decoderResult().cause());
      return;
    }
    if (message instanceof HttpRequest request) {
      incompleteRequest = request;
      body = new IncomingBody(request, context.catalog().limits().maxBodyBytes());
      bodyWaitedMillis = 0;
      fingerprint = new RequestFingerprint.Builder(request.method().name(), request.uri());
      if (!prepareBody(body, 0)) {
        return;
      }
      if (!body.isWaiting()) {
        sendContinueIfExpected(request);
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
    if (cause instanceof MemoryInUseException) {
      rejectIncomplete(CallerFailures.memoryInUse());
      return;
    }
    boolean tooLong = cause instanceof TooLongFrameException;
    respond(
        tooLong
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST,
        Failure.of(
            ResultCode.MALFORMED_BODY,
            tooLong
                ? "the request line or the headers are longer than allowed"
                : "the request is not valid HTTP/1.1"),
        false);
  }

  private void sendContinueIfExpected(HttpRequest request) {
    if (HttpUtil.is100ContinueExpected(request) && !responding && channelContext != null) {
      channelContext.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void handleBody(HttpContent content) {
    HttpRequest requestHead = incompleteRequest;
    IncomingBody incoming = body;
    RequestFingerprint.Builder builder = fingerprint;
    if (requestHead == null || incoming == null || builder == null) {
      return;
    }
    if (!prepareBody(incoming, content.content().readableBytes())) {
      return;
    }
    builder.add(content.content().nioBuffer());
    incoming.add(content.content());
    if (!client.holdBody(incoming.unreservedBytes())) {
      rejectIncomplete(CallerFailures.memoryInUse());
      return;
    }
    if (content instanceof LastHttpContent) {
      incompleteRequest = null;
      body = null;
      partialRequestSinceMillis = -1;
      fingerprint = null;
      complete(requestHead, builder.build(), incoming);
    }
  }

  /** Reserves memory for a body that needs it; returns whether the request can go on. */
  private boolean prepareBody(IncomingBody incoming, int addedBytes) {
    if (incoming.isTooLarge(addedBytes)) {
      rejectIncomplete(
          Failure.of(
              ResultCode.BODY_TOO_LARGE,
              "the request body exceeds the limit of "
                  + context.catalog().limits().maxBodyBytes()
                  + " bytes"));
      return false;
    }
    if (!incoming.needsMemory(addedBytes)) {
      return true;
    }
    if (!context.bodyMemory().canEverHold(BodyMemory.Use.REQUEST, incoming.finalBytes())) {
      rejectIncomplete(
          Failure.of(
              ResultCode.BODY_TOO_LARGE,
              "the request body may have "
                  + incoming.finalBytes()
                  + " bytes, which exceeds the memory of this host for bodies"));
      return false;
    }
    long nowMillis = context.clock().nowMillis();
    BodyMemory.Reservation reservation =
        context
            .bodyMemory()
            .reserve(
                BodyMemory.Use.REQUEST,
                incoming.finalBytes(),
                nowMillis,
                timeoutMillis(incompleteRequest),
                () -> continueReading(incoming, nowMillis));
    incoming.setReservation(reservation);
    if (reservation.isGranted()) {
      client.reserved(incoming.finalBytes());
    } else {
      client.awaitBodyMemory(true);
      timers.schedule(
          () -> rejectIfWaiting(incoming), Math.max(1, reservation.giveUpAtMillis() - nowMillis));
    }
    return true;
  }

  /** Returns the time that a request has, as far as its headers tell. */
  private long timeoutMillis(@Nullable HttpRequest head) {
    if (head == null) {
      return 0;
    }
    if (!(context.protocol().readRequest(withBody(head, Unpooled.EMPTY_BUFFER))
        instanceof Outcome.Success<InboundRequest> success)) {
      return 0;
    }
    InboundRequest request = success.value();
    return context
        .catalog()
        .routeFor(request.host(), request.path())
        .map(route -> RequestTerms.timeoutMillis(request, route))
        .orElse(request.deadlineMillis());
  }

  private void continueReading(IncomingBody incoming, long sinceMillis) {
    HttpRequest requestHead = incompleteRequest;
    if (closing || body != incoming || requestHead == null) {
      return;
    }
    long nowMillis = context.clock().nowMillis();
    bodyWaitedMillis = nowMillis - sinceMillis;
    partialRequestSinceMillis = nowMillis;
    sendContinueIfExpected(requestHead);
    client.awaitBodyMemory(false);
    client.reserved(incoming.finalBytes());
  }

  private void rejectIfWaiting(IncomingBody incoming) {
    BodyMemory.Reservation reservation = incoming.reservation();
    long nowMillis = context.clock().nowMillis();
    if (closing
        || body != incoming
        || reservation == null
        || !context.bodyMemory().giveUp(reservation, nowMillis)) {
      return;
    }
    rejectIncomplete(CallerFailures.noRoomForBody(incoming.finalBytes()));
  }

  /** Rejects a request whose body has not been read, and closes the connection. */
  private void rejectIncomplete(Failure failure) {
    incompleteRequest = null;
    releaseIncomingBody();
    client.awaitBodyMemory(false);
    client.refused();
    if (responding) {
      // A response now would belong to the request before.
      closing = true;
      return;
    }
    dropping = true;
    respond(HttpResponseStatus.valueOf(failure.code().httpStatus()), failure, false);
  }

  private void releaseIncomingBody() {
    IncomingBody incoming = body;
    body = null;
    if (incoming != null) {
      incoming.discard();
      releaseMemory(incoming.reservation());
    }
  }

  private void releaseMemory(BodyMemory.@Nullable Reservation reservation) {
    if (reservation != null) {
      context.bodyMemory().release(reservation);
    }
  }

  private void complete(HttpRequest head, long requestFingerprint, IncomingBody incoming) {
    byte[] bytes = incoming.complete();
    BodyMemory.Reservation reservation = incoming.reservation();
    if (incoming.isWaiting()) {
      // All of it came with the part that made it large.
      releaseMemory(reservation);
      reservation = null;
      client.awaitBodyMemory(false);
    }
    if (reservation != null) {
      context.bodyMemory().shrink(reservation, bytes.length);
    } else if (bytes.length > 0) {
      reservation = context.bodyMemory().hold(BodyMemory.Use.REQUEST, bytes.length);
    }
    client.holdBody(0);
    FullHttpRequest completeRequest = withBody(head, Unpooled.wrappedBuffer(bytes));
    processInOrder(
        new ReceivedRequest(completeRequest, requestFingerprint, reservation, bodyWaitedMillis));
  }

  private static FullHttpRequest withBody(HttpRequest head, ByteBuf body) {
    return new DefaultFullHttpRequest(
        head.protocolVersion(),
        head.method(),
        head.uri(),
        body,
        head.headers(),
        EmptyHttpHeaders.INSTANCE);
  }

  private void processInOrder(ReceivedRequest received) {
    if (!responding) {
      process(received);
    } else if (pipelinedRequests.size() < MAX_PIPELINED_REQUESTS) {
      pipelinedRequests.add(received);
    } else {
      releaseMemory(received.bodyMemory());
      closing = true;
    }
  }

  private void process(ReceivedRequest received) {
    FullHttpRequest request = received.request();
    responding = true;
    currentBodyMemory = received.bodyMemory();
    keepAlive = HttpUtil.isKeepAlive(request);
    headRequest = request.method().equals(HttpMethod.HEAD);
    boolean admitted = client.admit();
    if (!admitted || (currentBodyMemory != null && !currentBodyMemory.isGranted())) {
      fail(CallerFailures.memoryInUse());
      return;
    }
    switch (context.protocol().readRequest(request)) {
      case Outcome.Failed<InboundRequest> failed -> fail(failed.failure());
      case Outcome.Success<InboundRequest> success ->
          routeWhenInitialized(success.value(), received.fingerprint(), received.waitedMillis());
    }
  }

  /** Routes a request; one that arrives before the catalog waits for it if its deadline allows. */
  private void routeWhenInitialized(
      InboundRequest request, long requestFingerprint, long waitedMillis) {
    long nowMillis = context.clock().nowMillis() - waitedMillis;
    boolean mayWait =
        request.deadlineMillis() <= 0 || request.deadlineMillis() >= MIN_DEADLINE_TO_WAIT_MILLIS;
    if (context.isInitialized()) {
      route(request, requestFingerprint, nowMillis);
    } else if (mayWait) {
      context.whenInitialized(
          () -> routeDeferred(request, requestFingerprint, nowMillis), INITIALIZATION_WAIT_MILLIS);
    } else {
      fail(CallerFailures.notInitialized());
    }
  }

  private void routeDeferred(
      InboundRequest request, long requestFingerprint, long arrivedAtMillis) {
    if (disconnected) {
      return;
    }
    if (context.isInitialized()) {
      route(request, requestFingerprint, arrivedAtMillis);
    } else {
      fail(CallerFailures.notInitialized());
    }
  }

  private void route(InboundRequest request, long requestFingerprint, long arrivedAtMillis) {
    if (context.forwarding().isMisdirected(request)) {
      failMisdirected();
      return;
    }
    switch (RouteChoice.of(context.catalog(), request, context::nextRandom)) {
      case Outcome.Failed<RouteChoice> failed -> fail(failed.failure());
      case Outcome.Success<RouteChoice> success ->
          start(request, success.value(), requestFingerprint, arrivedAtMillis);
    }
  }

  private void start(
      InboundRequest request, RouteChoice choice, long requestFingerprint, long arrivedAtMillis) {
    if (!context.mayAccept(choice.timeoutMillis())) {
      fail(CallerFailures.draining());
      return;
    }
    long deadlineAtMillis = arrivedAtMillis + choice.timeoutMillis();
    ForwardedRequest forwarded =
        context
            .forwarding()
            .forNewRequest(context, this, request, choice.homeRegions(), deadlineAtMillis);
    if (forwarded != null) {
      currentRequest = forwarded;
      forwarded.start();
      return;
    }
    RoutedRequest routedRequest =
        new RoutedRequest(context, this, request, choice, requestFingerprint, arrivedAtMillis);
    currentRequest = routedRequest;
    context.requestOpened(routedRequest);
    routedRequest.start();
  }

  /**
   * Has another gateway serve the present request, for which no backend server was reached. Returns
   * false if it has to be rejected here.
   */
  boolean forward(InboundRequest request, HomeRegions homeRegions, long deadlineAtMillis) {
    if (request.isForwarded()) {
      failMisdirected();
      return true;
    }
    ForwardedRequest forwarded =
        context
            .forwarding()
            .forUnservedRequest(context, this, request, homeRegions, deadlineAtMillis);
    if (forwarded == null) {
      return false;
    }
    currentRequest = forwarded;
    forwarded.start();
    return true;
  }

  /** Tells another gateway that its request was not run and that this one reaches no server. */
  private void failMisdirected() {
    respond(HttpResponseStatus.MISDIRECTED_REQUEST, CallerFailures.misdirected(), false);
  }

  // ---- responses --------------------------------------------------------------------------------

  /** Forwards the response of a backend server, unchanged except for hop-by-hop headers. */
  void respond(CompleteResponse completeResponse) {
    HttpResponse backendResponse = completeResponse.response();
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            backendResponse.status(),
            Unpooled.wrappedBuffer(completeResponse.body()));
    HopByHopHeaders.copy(
        backendResponse.headers(),
        response.headers(),
        HopByHopHeaders.of(backendResponse.headers()));
    write(response);
  }

  /** Responds with a failure reported by this system. */
  void fail(Failure failure) {
    boolean keepOpen =
        failure.code() != ResultCode.BODY_TOO_LARGE && failure.code() != ResultCode.BODY_TOO_SLOW;
    respond(HttpResponseStatus.valueOf(failure.code().httpStatus()), failure, keepOpen);
  }

  private void respond(HttpResponseStatus status, Failure failure, boolean keepOpen) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            status,
            Unpooled.wrappedBuffer(JsonTrees.write(ErrorBodies.json(failure))));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    if (failure.retryAfterMillis() > 0) {
      double retryAfterSeconds = (double) failure.retryAfterMillis() / MILLIS_PER_SECOND;
      response
          .headers()
          .set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterSeconds));
    }
    keepAlive = keepAlive && keepOpen;
    write(response);
  }

  private void write(FullHttpResponse response) {
    if (headRequest) {
      response.content().clear();
    }
    HttpUtil.setContentLength(response, response.content().readableBytes());
    boolean keepOpen = mayKeepOpen();
    if (!keepOpen) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    if (channelContext != null && response.content().readableBytes() > BodyWriter.PIECE_BYTES) {
      writeInPieces(channelContext, response, keepOpen);
    } else {
      finishResponse(writeAndFlush(response), keepOpen);
    }
  }

  private void writeInPieces(
      ChannelHandlerContext openContext, FullHttpResponse response, boolean keepOpen) {
    currentRequest = null;
    releaseRequestMemory();
    openContext
        .write(
            new DefaultHttpResponse(
                response.protocolVersion(), response.status(), response.headers()))
        .addListener(EventLoops.REPORT_ERROR);
    responseWriter = new BodyWriter(openContext, response.content());
    keepOpenAfterResponse = keepOpen;
    continueResponse();
  }

  /** Writes as much of a large response as the caller takes. */
  private void continueResponse() {
    BodyWriter writer = responseWriter;
    if (writer == null) {
      return;
    }
    lastActivityMillis = context.clock().nowMillis();
    ChannelFuture last = writer.resume();
    if (last != null) {
      responseWriter = null;
      finishResponse(last, keepOpenAfterResponse && !closing);
    }
  }

  /** Returns the memory of the responses to the present request. */
  ResponseMemory responseMemory() {
    ResponseMemory memory = responseMemory;
    if (memory == null) {
      memory = new ResponseMemory(context.responseBuffers(), context.bodyMemory());
      responseMemory = memory;
    }
    return memory;
  }

  private void releaseRequestMemory() {
    releaseMemory(currentBodyMemory);
    currentBodyMemory = null;
  }

  private void releaseResponseMemory() {
    if (responseMemory != null) {
      responseMemory.releaseAll();
      responseMemory = null;
    }
  }

  private boolean mayKeepOpen() {
    // Requests that were read already get their responses, also while the gateway is draining.
    boolean lastOfDrain = context.isDraining() && !hasNextRequest();
    return keepAlive && !closing && !lastOfDrain;
  }

  /** Starts to forward a stream. */
  void startStream(HttpResponse backendResponse) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, backendResponse.status());
    HopByHopHeaders.copy(
        backendResponse.headers(),
        response.headers(),
        HopByHopHeaders.of(backendResponse.headers()));
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    if (!mayKeepOpen()) {
      keepAlive = false;
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    if (channelContext != null) {
      channelContext.write(response).addListener(EventLoops.REPORT_ERROR);
    }
  }

  /** Forwards part of a stream. */
  void writeStream(byte[] bytes) {
    writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  /** Forwards what follows the last event of a stream, and marks its end. */
  void endStream(CompleteResponse completeResponse) {
    if (completeResponse.body().length > 0) {
      writeStream(completeResponse.body());
    }
    finishResponse(writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), mayKeepOpen());
  }

  /** Passes on bytes of the response that another gateway has encoded. */
  void writeForwarded(ByteBuf bytes) {
    ChannelHandlerContext open = channelContext;
    if (open == null) {
      bytes.release();
      return;
    }
    lastActivityMillis = context.clock().nowMillis();
    pastEncoder(open).writeAndFlush(bytes).addListener(EventLoops.REPORT_ERROR);
  }

  /** Ends a response that another gateway has encoded, and closes the connection as it states. */
  void endForwarded() {
    ChannelHandlerContext open = channelContext;
    finishResponse(
        open == null ? null : pastEncoder(open).writeAndFlush(Unpooled.EMPTY_BUFFER), false);
  }

  private static ChannelHandlerContext pastEncoder(ChannelHandlerContext open) {
    return open.pipeline().context(HttpResponseEncoder.class);
  }

  /**
   * Closes the connection before the end of a stream, so that the caller can detect that the stream
   * is incomplete.
   */
  void abort() {
    close();
  }

  private @Nullable ChannelFuture writeAndFlush(HttpObject message) {
    return channelContext == null
        ? null
        : channelContext.writeAndFlush(message).addListener(EventLoops.REPORT_ERROR);
  }

  private void finishResponse(@Nullable ChannelFuture written, boolean keepOpen) {
    responding = false;
    currentRequest = null;
    releaseRequestMemory();
    releaseResponseMemory();
    lastActivityMillis = context.clock().nowMillis();
    if (!keepOpen) {
      closing = true;
      if (!dropping) {
        client.responded();
      }
      closeAfter(written);
      return;
    }
    startNextRequest();
  }

  private boolean hasNextRequest() {
    return !pipelinedRequests.isEmpty() || client.hasUndecoded();
  }

  /** Starts with the next request once the caller has taken most of the responses before it. */
  private void startNextRequest() {
    awaitingReader = !isWritable();
    if (awaitingReader) {
      return;
    }
    ReceivedRequest next = pipelinedRequests.poll();
    if (next != null) {
      process(next);
      return;
    }
    if (incompleteRequest == null) {
      partialRequestSinceMillis = client.hasUndecoded() ? context.clock().nowMillis() : -1;
    }
    client.proceed();
    if (!responding && incompleteRequest == null && !client.hasUndecoded()) {
      // Only an empty line followed.
      partialRequestSinceMillis = -1;
    }
  }

  private void closeAfter(@Nullable ChannelFuture written) {
    if (written != null && dropping) {
      written.addListener(
          EventLoops.guard(
              future ->
                  LingeringClose.start(
                      written.channel(), timers, context.catalog().limits().idleTimeoutMillis())));
    } else if (written != null) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  // ---- closing ----------------------------------------------------------------------------------

  /**
   * Closes the connection if no request is being processed or received, and none is likely to be on
   * its way. One that closes after its response is left alone: the caller may not have read all of
   * it yet.
   */
  void closeIfIdle() {
    boolean idle = !responding && incompleteRequest == null && partialRequestSinceMillis < 0;
    long idleMillis = context.clock().nowMillis() - lastActivityMillis;
    if (!closing && idle && idleMillis >= MIN_IDLE_MILLIS) {
      close();
    }
  }

  /** Returns whether the connection closes once its last response has been sent. */
  boolean isClosing() {
    return closing;
  }

  private void close() {
    closing = true;
    if (channelContext != null) {
      channelContext.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
    continueResponse();
    if (awaitingReader && !closing) {
      startNextRequest();
    }
    if (currentRequest != null) {
      currentRequest.onCallerWritabilityChanged(handlerContext.channel().isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    disconnected = true;
    closing = true;
    timers.close();
    CallerRequest openRequest = currentRequest;
    currentRequest = null;
    if (openRequest != null) {
      openRequest.onCallerDisconnected();
    }
    responseWriter = null;
    releaseIncomingBody();
    releaseRequestMemory();
    releaseResponseMemory();
    pipelinedRequests.forEach(received -> releaseMemory(received.bodyMemory()));
    pipelinedRequests.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
    FatalErrors.report(cause);
    handlerContext.close();
  }
}
