package org.curranthaven.internal.clients;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Decodes one request at a time: what follows it stays undecoded until {@link #proceed}. Bounds the
 * bytes of a head as they are received, and of empty lines, trailers and chunk lines, and rejects
 * requests whose framing is ambiguous, which could otherwise be used for request smuggling.
 */
final class RequestDecoder extends HttpRequestDecoder {
  /** Empty lines that precede a request, in bytes; a few clients end their requests with one. */
  private static final int MAX_LEADING_BYTES = 1_024;

  /** Bytes behind the request in progress beyond which the connection is not read. */
  private static final int MAX_BYTES_BEHIND = 16 * 1024;

  /** End of the last line and the empty line after the headers. */
  private static final int HEAD_END_BYTES = 2;

  private final ClientChannel client;
  private final IntSupplier maxHeadBytes;
  private @Nullable ChannelHandlerContext context;
  private boolean inHead = true;
  private boolean held;
  private boolean decoding;
  private boolean refused;
  private boolean chunked;
  private int leadingBytes;

  /** Bytes and lines since the last part that was passed on. */
  private int pendingBytes;

  private int pendingLines;

  /** What the head of the present request takes, and its body so far. */
  private long headCost;

  private long bodyBytes;

  /**
   * Creates the decoder of a connection.
   *
   * @param maxHeadBytes limit on the request line and the headers
   */
  RequestDecoder(ClientChannel client, IntSupplier maxHeadBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(Integer.MAX_VALUE)
            .setMaxHeaderSize(Integer.MAX_VALUE)
            .setStrictLineParsing(true));
    this.client = client;
    this.maxHeadBytes = maxHeadBytes;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) throws Exception {
    context = handlerContext;
    super.handlerAdded(handlerContext);
  }

  /** Returns whether bytes behind the request in progress were received. */
  boolean hasUndecoded() {
    return actualReadableBytes() > 0;
  }

  /** Decodes the next request, since the response to the present one has been written. */
  @SuppressWarnings("CatchingUnchecked")
  void proceed() {
    held = false;
    headCost = 0;
    bodyBytes = 0;
    client.account().idle(client.nowMillis());
    client.account().hold(0);
    // Before the next request is decoded, which may find that enough is behind it.
    client.pause(ClientChannel.Pause.BEHIND, false);
    ChannelHandlerContext handlerContext = context;
    if (!decoding && handlerContext != null && hasUndecoded()) {
      try {
        channelRead(handlerContext, Unpooled.EMPTY_BUFFER);
      } catch (Exception e) {
        handlerContext.fireExceptionCaught(e);
      }
    }
  }

  /** Drops what follows the present request if that was refused when it was whole. */
  void dropBehind() {
    if (held) {
      refused = true;
      client.pause(ClientChannel.Pause.BEHIND, false);
    }
  }

  /**
   * Sets the bytes of the body that are held for the present request.
   *
   * @return whether they may be held
   */
  boolean holdBody(long bytes) {
    if (bytes == bodyBytes) {
      return true;
    }
    bodyBytes = bytes;
    return client.account().hold(headCost + bodyBytes);
  }

  @Override
  public void channelRead(ChannelHandlerContext handlerContext, Object message) throws Exception {
    boolean outer = !decoding;
    decoding = true;
    try {
      super.channelRead(handlerContext, message);
    } finally {
      decoding = !outer;
    }
  }

  @Override
  protected void decode(ChannelHandlerContext handlerContext, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (refused) {
      buffer.skipBytes(buffer.readableBytes());
      return;
    }
    if (held) {
      boolean mayHold = client.account().hold(headCost + bodyBytes + buffer.capacity());
      if (!mayHold || buffer.readableBytes() > MAX_BYTES_BEHIND) {
        client.pause(ClientChannel.Pause.BEHIND, true);
      }
      return;
    }
    int start = buffer.readerIndex();
    int before = out.size();
    super.decode(handlerContext, buffer, out);
    count(buffer, start);
    Throwable excess = null;
    if (out.size() == before) {
      excess = excess(buffer.readableBytes(), buffer.capacity());
    }
    for (int i = before; i < out.size() && excess == null; i++) {
      excess = passOn((HttpObject) out.get(i));
    }
    if (excess != null) {
      refuse(excess, buffer, out, before);
      discardPart(handlerContext);
    }
  }

  /** Counts the bytes that were decoded since the last part, and the lines that they hold. */
  private void count(ByteBuf buffer, int start) {
    int end = buffer.readerIndex();
    if (!inHead && !chunked) {
      return;
    }
    int next = start;
    if (inHead && pendingBytes == 0) {
      next = endOfEmptyLines(buffer, start, end);
      leadingBytes += next - start;
    }
    pendingBytes += end - next;
    while (next < end) {
      int lineEnd = buffer.indexOf(next, end, (byte) '\n');
      pendingLines += lineEnd < 0 ? 0 : 1;
      next = lineEnd < 0 ? end : lineEnd + 1;
    }
  }

  /** Returns the index of the first byte that does not belong to an empty line. */
  private static int endOfEmptyLines(ByteBuf buffer, int start, int end) {
    int index = start;
    while (index < end && (buffer.getByte(index) == '\r' || buffer.getByte(index) == '\n')) {
      index++;
    }
    return index;
  }

  /** Returns why what is received of the present part is too much, or null if it is not. */
  private @Nullable Throwable excess(int undecodedBytes, int undecodedCapacity) {
    if (leadingBytes > MAX_LEADING_BYTES
        || pendingBytes + undecodedBytes > maxHeadBytes.getAsInt() + HEAD_END_BYTES) {
      return new TooLongHttpHeaderException(
          "the lines of a request exceed " + maxHeadBytes.getAsInt() + " bytes");
    }
    long pendingCost = HeadCost.bytes(pendingBytes, pendingLines);
    long rawBytes = undecodedBytes > 0 ? undecodedCapacity : 0;
    return hold(pendingCost + rawBytes);
  }

  private @Nullable Throwable hold(long addedBytes) {
    return client.account().hold(headCost + bodyBytes + addedBytes)
        ? null
        : new MemoryInUseException("the memory for what clients send is in use");
  }

  /** Returns why a decoded part is refused, or null if it is passed on. */
  private @Nullable Throwable passOn(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      return part.decoderResult().cause();
    }
    Throwable excess = null;
    if (part instanceof HttpRequest request) {
      excess = excess(0, 0);
      headCost = HeadCost.bytes(pendingBytes, pendingLines);
      inHead = false;
      chunked = HttpUtil.isTransferEncodingChunked(request);
      client.account().headComplete(client.nowMillis());
    }
    client.countDecoded(1 + pendingLines);
    pendingBytes = 0;
    pendingLines = 0;
    if (part instanceof LastHttpContent) {
      held = true;
      inHead = true;
      leadingBytes = 0;
    }
    return excess;
  }

  /** Replaces what was decoded by a part that tells why the request is refused. */
  private void refuse(Throwable reason, ByteBuf buffer, List<Object> out, int before) {
    boolean headPassedOn = !inHead && before == out.size();
    while (out.size() > before) {
      ReferenceCountUtil.release(out.removeLast());
    }
    HttpObject refusal =
        headPassedOn ? new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER) : createInvalidMessage();
    refusal.setDecoderResult(DecoderResult.failure(reason));
    out.add(refusal);
    refused = true;
    buffer.skipBytes(buffer.readableBytes());
    client.account().refused(client.nowMillis());
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) throws Exception {
    super.channelInactive(handlerContext);
    discardPart(handlerContext);
  }

  /** Keeps nothing of an incomplete head or trailer: timers may still refer to the connection. */
  private void discardPart(ChannelHandlerContext handlerContext) throws Exception {
    reset();
    super.decode(handlerContext, Unpooled.EMPTY_BUFFER, new ArrayList<>());
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "the request declares both Content-Length and chunked transfer encoding; send only one");
  }
}
