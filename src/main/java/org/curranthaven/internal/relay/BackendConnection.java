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
  private @Nullable ChannelHandlerContext context;
  private @Nullable AnswerListener listener;
  private String expectedId = "";
  private @Nullable ResponseHead head;
  private boolean skipping;
  private boolean unsound;
  private boolean broken;
  private boolean released;
  private long idleSinceMillis;
  private long idleUntilMillis;

  /** Is told the answer to a call. */
  interface AnswerListener {
    /** Status and headers arrived. */
    void head(ResponseHead head, HttpResponse response);

    /** A part of the body arrived. */
    void content(byte[] bytes);

    /** The answer is whole. */
    void whole();

    /** No whole answer will come. */
    void broken(String reason);
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
    return isOpen() && !unsound && listener == null && fresh;
  }

  boolean isOpen() {
    return context != null && context.channel().isActive();
  }

  /** Sends a call. The listener is called until the answer is whole or broken. */
  void send(FullHttpRequest request, String requestId, AnswerListener answerListener) {
    ChannelHandlerContext open = context;
    if (open == null || !open.channel().isActive()) {
      answerListener.broken("the connection was closed");
      return;
    }
    listener = answerListener;
    expectedId = requestId;
    head = null;
    released = false;
    open.writeAndFlush(request);
  }

  /** Stops listening and closes the connection, which tells the backend server to stop working. */
  void cancel() {
    listener = null;
    close();
  }

  void close() {
    unsound = true;
    if (context != null) {
      context.close();
    }
  }

  /** Reads on, or not, so that a slow caller bounds what is kept for it. */
  void setReading(boolean reading) {
    if (context != null) {
      context.channel().config().setAutoRead(reading);
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext active, HttpObject message) {
    if (message.decoderResult().isFailure()) {
      fail("the backend server sent bytes that are no answer");
      return;
    }
    if (message instanceof HttpResponse response) {
      startAnswer(response);
    }
    if (message instanceof HttpContent content) {
      takeContent(content);
    }
  }

  private void startAnswer(HttpResponse response) {
    if (listener == null) {
      // Bytes after a whole answer belong to no request.
      close();
      return;
    }
    if (response.status().code() < FIRST_FINAL_STATUS) {
      skipping = true;
      return;
    }
    ResponseHead decoded = pool.protocol().readAnswer(response);
    if (!decoded.requestId().isEmpty() && !decoded.requestId().equals(expectedId)) {
      skipping = true;
      unsound = true;
      return;
    }
    head = decoded;
    listener.head(decoded, response);
  }

  private void takeContent(HttpContent content) {
    AnswerListener current = listener;
    if (skipping) {
      skipping = !(content instanceof LastHttpContent);
      return;
    }
    if (current == null || head == null) {
      return;
    }
    if (content.content().isReadable()) {
      current.content(ByteBufUtil.getBytes(content.content()));
    }
    if (content instanceof LastHttpContent && listener == current) {
      finish(current);
    }
  }

  private void finish(AnswerListener current) {
    if (unsound && broken) {
      fail("the connection was reset");
      return;
    }
    listener = null;
    ResponseHead answer = head;
    if (answer == null || answer.closes() || unsound || !isOpen()) {
      close();
    } else {
      idleSinceMillis = pool.nowMillis();
      idleUntilMillis = pool.idleUntilMillis(answer);
      released = true;
    }
    current.whole();
  }

  private void fail(String reason) {
    AnswerListener current = listener;
    listener = null;
    close();
    if (current != null) {
      current.broken(reason);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext active) {
    if (released) {
      released = false;
      pool.release(this);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext active, Throwable cause) {
    broken = true;
    unsound = true;
    active.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext active) {
    unsound = true;
    pool.closed(this);
    fail("the connection was closed before the whole answer");
  }
}
