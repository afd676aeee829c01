package org.curranthaven.internal.relay;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;

/**
 * One connection to a backend server. It carries one call at a time and goes back to its pool only
 * after a clean and whole answer. An answer that belongs to another request is skipped. Used on the
 * event loop only.
 */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject> {
  private static final int FIRST_FINAL_STATUS = 200;

  private final BackendPool pool;
  private final String address;
  private @Nullable ChannelHandlerContext channelContext;
  private @Nullable ResponseListener listener;
  private String expectedRequestId = "";
  private @Nullable ResponseHead head;
  private boolean skippingResponse;
  private boolean unusable;
  private boolean readFailed;
  private boolean releasePending;
  private long idleSinceMillis;
  private long idleUntilMillis;

  /** Is told the answer to a call. */
  interface ResponseListener {
    /** Status and headers arrived. */
    void onHead(ResponseHead head, HttpResponse response);

    /** A part of the body arrived. */
    void onContent(byte[] bytes);

    /** The answer is whole. */
    void onComplete();

    /** No whole answer will come. */
    void onInterrupted(String reason);
  }

  BackendConnection(BackendPool pool, String address) {
    super(HttpObject.class);
    this.pool = pool;
    this.address = address;
  }

  String address() {
    return address;
  }

  boolean isUsable(long nowMillis, long maxIdleMillis) {
    boolean fresh = nowMillis < idleUntilMillis && nowMillis - idleSinceMillis <= maxIdleMillis;
    return isOpen() && !unusable && listener == null && fresh;
  }

  boolean isOpen() {
    return channelContext != null && channelContext.channel().isActive();
  }

  /** Sends a call. The listener is called until the answer is whole or broken. */
  void send(FullHttpRequest request, String requestId, ResponseListener answerListener) {
    ChannelHandlerContext open = channelContext;
    if (open == null || !open.channel().isActive()) {
      answerListener.onInterrupted("the connection was closed");
      return;
    }
    listener = answerListener;
    expectedRequestId = requestId;
    head = null;
    releasePending = false;
    open.writeAndFlush(request);
  }

  /** Stops listening and closes the connection, which tells the backend server to stop working. */
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

  /** Reads on, or not, so that a slow caller bounds what is kept for it. */
  void setReading(boolean reading) {
    if (channelContext != null) {
      channelContext.channel().config().setAutoRead(reading);
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    channelContext = added;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext active, HttpObject message) {
    if (message.decoderResult().isFailure()) {
      fail("the backend server sent bytes that are no answer");
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
      // Bytes after a whole answer belong to no request.
      close();
      return;
    }
    if (response.status().code() < FIRST_FINAL_STATUS) {
      skippingResponse = true;
      return;
    }
    ResponseHead decoded = pool.protocol().readResponseHead(response);
    if (!decoded.requestId().isEmpty() && !decoded.requestId().equals(expectedRequestId)) {
      skippingResponse = true;
      unusable = true;
      return;
    }
    head = decoded;
    listener.onHead(decoded, response);
  }

  private void handleContent(HttpContent content) {
    ResponseListener current = listener;
    if (skippingResponse) {
      skippingResponse = !(content instanceof LastHttpContent);
      return;
    }
    if (current == null || head == null) {
      return;
    }
    if (content.content().isReadable()) {
      current.onContent(ByteBufUtil.getBytes(content.content()));
    }
    if (content instanceof LastHttpContent && listener == current) {
      finish(current);
    }
  }

  private void finish(ResponseListener current) {
    if (unusable && readFailed) {
      fail("the connection was reset");
      return;
    }
    listener = null;
    ResponseHead answer = head;
    if (answer == null || answer.closesConnection() || unusable || !isOpen()) {
      close();
    } else {
      idleSinceMillis = pool.nowMillis();
      idleUntilMillis = pool.idleUntilMillis(answer);
      releasePending = true;
    }
    current.onComplete();
  }

  private void fail(String reason) {
    ResponseListener current = listener;
    listener = null;
    close();
    if (current != null) {
      current.onInterrupted(reason);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext active) {
    if (releasePending) {
      releasePending = false;
      pool.release(this);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext active, Throwable cause) {
    readFailed = true;
    unusable = true;
    active.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext active) {
    unusable = true;
    pool.onClosed(this);
    fail("the connection was closed before the whole answer");
  }
}
