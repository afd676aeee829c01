package org.curranthaven.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import org.curranthaven.internal.supervision.FatalErrors;
import org.curranthaven.internal.transport.EventLoops;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * One connection to a backend server. Carries one request at a time and returns to its pool only
 * after a complete response without errors. Skips a response that belongs to another request.
 * Confined to the event loop.
 */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject> {
  private static final int FIRST_FINAL_STATUS = 200;

  /**
   * Limit on the interim responses (status 1xx) and the responses to others before the final one.
   */
  static final int MAX_SKIPPED_RESPONSES = 16;

  /** Limit on the bytes of those responses. */
  static final int MAX_SKIPPED_BYTES = 1024 * 1024;

  private final BackendPool pool;
  private final String address;
  private final CarriedRequests carriedRequests = new CarriedRequests();
  private @Nullable ChannelHandlerContext channelContext;
  private @Nullable ResponseListener listener;
  private @Nullable BodyWriter bodyWriter;
  private String expectedRequestId = "";
  private @Nullable ResponseHead head;
  private EmbeddedResponseDetector embedded;
  private ResponseEnding markedEnding = new ResponseEnding.ConnectionClosed();
  private boolean reused;
  private boolean requestIdRequired;
  private boolean headRequest;
  private boolean skippingResponse;
  private int skippedResponses;
  private int skippedBytes;
  private boolean lastUse;
  private boolean unusable;
  private boolean readFailed;

  /** Whether the backend server has closed its side of the connection in order. */
  private boolean inputEnded;

  private boolean releasePending;
  private long idleSinceMillis;
  private long idleUntilMillis;

  /** Receives the response to a request. */
  interface ResponseListener {
    /** Handles the status and headers. */
    void onHead(ResponseHead head, HttpResponse response);

    /** Handles a part of the body. */
    void onContent(byte[] bytes);

    /** Handles the end of the response; nothing follows it. */
    void onEnded(ResponseEnding ending);
  }

  /** Decodes responses; the response to a HEAD request has no body, whatever its headers say. */
  private final class ResponseDecoder extends HttpResponseDecoder {
    @Override
    protected void decode(ChannelHandlerContext handlerContext, ByteBuf in, List<Object> out)
        throws Exception {
      // A part of a head would make one head with the response to the next request.
      boolean stray = listener == null && !unusable;
      super.decode(handlerContext, in, out);
      if (stray) {
        closeAfterStrayBytes(out.isEmpty());
      }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
      // What this throws makes the response malformed.
      StatusCodes.check(initialLine[1]);
      return super.createMessage(initialLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      return headRequest || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      throw new IllegalArgumentException(
          "the response declares both Content-Length and chunked transfer encoding");
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext handlerContext, Object event)
        throws Exception {
      if (event instanceof ChannelInputShutdownEvent) {
        inputEnded = true;
      }
      // Ends the content of a response without length or chunks.
      super.userEventTriggered(handlerContext, event);
    }
  }

  BackendConnection(BackendPool pool, String address) {
    super(HttpObject.class);
    this.pool = pool;
    this.address = address;
    this.embedded = new EmbeddedResponseDetector(pool.protocol(), false);
  }

  /** Returns the handlers of the connection, in order. */
  ChannelHandler[] handlers() {
    return new ChannelHandler[] {new ResponseDecoder(), new HttpRequestEncoder(), this};
  }

  String address() {
    return address;
  }

  boolean isUsable(long nowMillis, long maxIdleMillis) {
    boolean withinIdleLimit =
        nowMillis < idleUntilMillis && nowMillis - idleSinceMillis <= maxIdleMillis;
    return isOpen() && !unusable && listener == null && withinIdleLimit;
  }

  /** Returns when the connection last ended a response. */
  long idleSinceMillis() {
    return idleSinceMillis;
  }

  /** Returns whether a late response to an earlier request may come. */
  boolean hasCarriedRequests() {
    return carriedRequests.size() > 0;
  }

  /** Returns whether no late response can be taken for the one to this request. */
  boolean mayCarry(String requestId) {
    return carriedRequests.mayAdd(requestId);
  }

  boolean isOpen() {
    return channelContext != null && channelContext.channel().isActive();
  }

  /**
   * Sends a request whose response states the request's id. The listener is called until the
   * response has ended.
   */
  void send(FullHttpRequest request, String requestId, ResponseListener responseListener) {
    // Without an id, the first response of a connection can only belong to its first request.
    requestIdRequired = reused && !requestId.isEmpty();
    sendAny(request, requestId, responseListener);
  }

  /**
   * Sends a control request about a request with the given id. Its response may state no id, so the
   * connection carries no other request afterwards, which a late copy could be taken for.
   */
  void sendControl(FullHttpRequest request, String requestId, ResponseListener responseListener) {
    requestIdRequired = false;
    lastUse = true;
    sendAny(request, requestId, responseListener);
  }

  private void sendAny(
      FullHttpRequest request, String requestId, ResponseListener responseListener) {
    ChannelHandlerContext openContext = channelContext;
    if (openContext == null || !openContext.channel().isActive()) {
      responseListener.onEnded(
          new ResponseEnding.BrokenOff(
              "the connection to " + address + " was closed before the request was sent", true));
      return;
    }
    bodyWriter = null;
    listener = responseListener;
    expectedRequestId = requestId;
    carriedRequests.add(requestId);
    lastUse = lastUse || carriedRequests.isFull();
    headRequest = request.method().equals(HttpMethod.HEAD);
    head = null;
    releasePending = false;
    skippedResponses = 0;
    skippedBytes = 0;
    reused = true;
    write(openContext, request);
  }

  private void write(ChannelHandlerContext openContext, FullHttpRequest request) {
    if (request.content().readableBytes() <= BodyWriter.PIECE_BYTES) {
      openContext.writeAndFlush(request).addListener(EventLoops.REPORT_ERROR);
      return;
    }
    openContext
        .write(
            new DefaultHttpRequest(
                request.protocolVersion(), request.method(), request.uri(), request.headers()))
        .addListener(EventLoops.REPORT_ERROR);
    bodyWriter = new BodyWriter(openContext, request.content());
    writeBody();
  }

  private void writeBody() {
    BodyWriter writer = bodyWriter;
    if (writer != null) {
      writer.resume();
      bodyWriter = writer.isFinished() ? null : writer;
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
    writeBody();
    handlerContext.fireChannelWritabilityChanged();
  }

  /** Removes the listener and closes the connection, which signals the backend server to stop. */
  void cancel() {
    listener = null;
    close();
  }

  void close() {
    unusable = true;
    if (channelContext != null) {
      channelContext.close();
    }
  }

  /** Makes a new connection that has carried no request available to its pool for a time. */
  void offerUnused(long nowMillis, long untilMillis) {
    idleSinceMillis = nowMillis;
    idleUntilMillis = untilMillis;
    pool.release(this);
  }

  /** Resumes or pauses reading, which bounds the memory buffered for a slow caller. */
  void setReading(boolean reading) {
    if (channelContext != null) {
      channelContext.channel().config().setAutoRead(reading);
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext newContext) {
    channelContext = newContext;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext handlerContext, HttpObject message) {
    if (message.decoderResult().isFailure()) {
      recordStray(StrayResponse.Reason.MALFORMED, "", 0);
      fail("the backend server at " + address + " sent a malformed HTTP response", false);
      return;
    }
    if (message instanceof HttpResponse response) {
      startResponse(response);
    }
    if (message instanceof HttpContent content) {
      handleContent(content);
    }
  }

  private void startResponse(HttpResponse response) {
    if (listener == null) {
      // Bytes after a complete response belong to no request.
      ResponseHead unexpected = pool.protocol().readResponseHead(response);
      recordStray(
          StrayResponse.Reason.NO_REQUEST_WAITING, unexpected.requestId(), unexpected.status());
      close();
      return;
    }
    if (!ResponseFraming.isUnambiguous(response)) {
      recordStray(StrayResponse.Reason.MALFORMED, "", response.status().code());
      fail(
          "the backend server at "
              + address
              + " sent a response that can be read in more than one way",
          false);
      return;
    }
    if (response.status().code() < FIRST_FINAL_STATUS) {
      skipResponse();
      return;
    }
    ResponseHead responseHead = pool.protocol().readResponseHead(response);
    if (!responseHead.requestId().isEmpty()
        && !responseHead.requestId().equals(expectedRequestId)) {
      unusable = true;
      recordStray(
          StrayResponse.Reason.OTHER_REQUEST, responseHead.requestId(), responseHead.status());
      skipResponse();
      return;
    }
    if (responseHead.requestId().isEmpty() && requestIdRequired) {
      recordStray(StrayResponse.Reason.NO_REQUEST_ID, "", responseHead.status());
      fail(
          "the backend server at "
              + address
              + " sent status "
              + responseHead.status()
              + " without a request id on a connection in use again, so that it may belong to an"
              + " earlier request",
          false);
      return;
    }
    head = responseHead;
    markedEnding = markedEnding(response);
    embedded = new EmbeddedResponseDetector(pool.protocol(), responseHead.eventStream());
    listener.onHead(responseHead, response);
  }

  /** Closes the connection after bytes that came while no request waited for a response. */
  private void closeAfterStrayBytes(boolean partOfHead) {
    if (partOfHead) {
      recordStray(StrayResponse.Reason.NO_REQUEST_WAITING, "", 0);
    }
    close();
  }

  private void recordStray(StrayResponse.Reason reason, String responseId, int status) {
    long nowMillis = pool.nowMillis();
    // A head that ends with its connection was cut off, and shows no late copy.
    boolean maybeLateCopy = !inputEnded && carriedRequests.size() > (listener == null ? 0 : 1);
    pool.recordStray(
        new StrayResponse(
            reason,
            address,
            listener == null ? "" : expectedRequestId,
            responseId,
            status,
            carriedRequests.millisSinceAnswer(responseId, nowMillis)),
        maybeLateCopy);
  }

  private void skipResponse() {
    skippingResponse = true;
    embedded = new EmbeddedResponseDetector(pool.protocol(), false);
    skippedResponses++;
    if (skippedResponses > MAX_SKIPPED_RESPONSES) {
      recordStray(StrayResponse.Reason.SKIP_LIMIT, "", 0);
      fail(
          "the backend server at "
              + address
              + " sent more than "
              + MAX_SKIPPED_RESPONSES
              + " responses before the final one",
          false);
    }
  }

  private void skipContent(HttpContent content) {
    skippingResponse = !(content instanceof LastHttpContent);
    skippedBytes += content.content().readableBytes();
    // A copy that was cut short must not take in the response that follows it.
    boolean foreign =
        content.content().isReadable() && embedded.add(ByteBufUtil.getBytes(content.content()));
    if (foreign || (!skippingResponse && embedded.endsInsideHead(false))) {
      failForeignContent();
      return;
    }
    if (skippedBytes > MAX_SKIPPED_BYTES) {
      recordStray(StrayResponse.Reason.SKIP_LIMIT, "", 0);
      fail(
          "the backend server at "
              + address
              + " sent a response to another request, of more than "
              + MAX_SKIPPED_BYTES
              + " bytes",
          false);
    }
  }

  /** Returns how a response with these headers ends unless it is broken off. */
  private ResponseEnding markedEnding(HttpResponse response) {
    int status = response.status().code();
    boolean hasNoBody =
        headRequest
            || status == HttpResponseStatus.NO_CONTENT.code()
            || status == HttpResponseStatus.NOT_MODIFIED.code();
    if (!hasNoBody && HttpUtil.isTransferEncodingChunked(response)) {
      return new ResponseEnding.LastChunk();
    }
    return hasNoBody || HttpUtil.isContentLengthSet(response)
        ? new ResponseEnding.LengthReached()
        : new ResponseEnding.ConnectionClosed();
  }

  private void handleContent(HttpContent content) {
    ResponseListener currentListener = listener;
    if (skippingResponse) {
      skipContent(content);
      return;
    }
    if (currentListener == null || head == null) {
      return;
    }
    if (content.content().isReadable()) {
      byte[] bytes = ByteBufUtil.getBytes(content.content());
      if (embedded.add(bytes)) {
        failForeignContent();
        return;
      }
      currentListener.onContent(bytes);
    }
    if (content instanceof LastHttpContent && listener == currentListener) {
      finish(currentListener);
    }
  }

  private void failForeignContent() {
    ResponseHead foreign = embedded.found();
    recordStray(
        StrayResponse.Reason.INSIDE_BODY,
        foreign == null ? "" : foreign.requestId(),
        foreign == null ? 0 : foreign.status());
    fail("the body sent by " + address + " holds the head of another response", false);
  }

  private void finish(ResponseListener currentListener) {
    boolean endsWithConnection = markedEnding instanceof ResponseEnding.ConnectionClosed;
    if (readFailed || (endsWithConnection && !inputEnded)) {
      fail(
          "the connection to "
              + address
              + " was reset or closed by this side before the response ended",
          true);
      return;
    }
    if (embedded.endsInsideHead(endsWithConnection)) {
      failForeignContent();
      return;
    }
    listener = null;
    carriedRequests.recordAnswer(expectedRequestId, pool.nowMillis());
    ResponseHead responseHead = head;
    if (endsWithConnection
        || responseHead == null
        || responseHead.closesConnection()
        || lastUse
        || unusable
        || bodyWriter != null
        || !isOpen()) {
      close();
    } else {
      idleSinceMillis = pool.nowMillis();
      idleUntilMillis = pool.idleUntilMillis(responseHead);
      releasePending = true;
    }
    currentListener.onEnded(markedEnding);
  }

  private void fail(String reason, boolean connectionLost) {
    ResponseListener currentListener = listener;
    listener = null;
    close();
    if (currentListener != null) {
      currentListener.onEnded(new ResponseEnding.BrokenOff(reason, connectionLost));
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext handlerContext, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      close();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext handlerContext) {
    if (releasePending) {
      releasePending = false;
      if (!unusable) {
        pool.release(this);
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
    FatalErrors.report(cause);
    Logger.info("connection to backend server at {} failed: {}", address, cause.toString());
    readFailed = true;
    unusable = true;
    handlerContext.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    unusable = true;
    bodyWriter = null;
    pool.onClosed(this);
    fail("the connection to " + address + " was closed before the response was complete", true);
  }
}
