package org.curranthaven.internal.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.curranthaven.api.Failure;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.clients.ClientChannel;
import org.curranthaven.internal.settings.Addresses;
import org.curranthaven.internal.supervision.FatalErrors;
import org.curranthaven.internal.transport.EventLoops;
import org.curranthaven.internal.transport.ReportingInitializer;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * A request that another gateway serves in place of this one, which reaches no backend server. It
 * is sent there as from a caller, and the response is passed on byte for byte. A gateway that
 * cannot serve it either answers {@link HttpResponseStatus#MISDIRECTED_REQUEST} before it runs, and
 * the next one is asked. Confined to the event loop.
 */
final class ForwardedRequest implements CallerRequest {
  /** Gateways that are asked at most. */
  private static final int MAX_GATEWAYS = 3;

  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  /** Time for which the other gateway's response at the deadline may be on its way. */
  private static final long DEADLINE_MARGIN_MILLIS = 100;

  private static final long RETRY_AFTER_MILLIS = 500;

  /** Place of the status in a status line. */
  private static final int STATUS_START = "HTTP/1.1 ".length();

  private static final int STATUS_DIGITS = 3;

  private final RelayContext context;
  private final CallerConnection caller;
  private final InboundRequest request;
  private final long deadlineAtMillis;
  private final Deque<String> gateways;
  private final ScheduledFuture<?> deadlineTimer;
  private @Nullable Channel connection;
  private boolean sent;
  private boolean responseStarted;
  private boolean finished;

  ForwardedRequest(
      RelayContext context,
      CallerConnection caller,
      InboundRequest request,
      long deadlineAtMillis,
      Collection<String> gateways) {
    this.context = context;
    this.caller = caller;
    this.request = request;
    this.deadlineAtMillis = deadlineAtMillis;
    this.gateways = new ArrayDeque<>(gateways.stream().limit(MAX_GATEWAYS).toList());
    this.deadlineTimer =
        context
            .loop()
            .schedule(
                this::onDeadline, leftMillis() + DEADLINE_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
  }

  private long leftMillis() {
    return Math.max(1, deadlineAtMillis - context.clock().nowMillis());
  }

  void start() {
    tryNext();
  }

  private void tryNext() {
    String address = gateways.poll();
    if (address == null) {
      fail(
          ResultCode.SHED,
          "the request was rejected before it ran: neither this host nor others that it asked"
              + " reach a backend server; retry later");
      return;
    }
    sent = false;
    ResponseReader reader = new ResponseReader(address);
    connection =
        new Bootstrap()
            .group(context.loop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.RECVBUF_ALLOCATOR, ClientChannel.readSizes())
            .handler(
                new ReportingInitializer() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpRequestEncoder(), reader);
                  }
                })
            .connect(Addresses.parse(address))
            .addListener(
                EventLoops.guard(
                    connected -> {
                      if (!connected.isSuccess()) {
                        tryAfter(address, "no connection");
                      }
                    }))
            .channel();
  }

  /** Asks the next gateway, after one that has not run the request. */
  private void tryAfter(String address, String reason) {
    if (finished) {
      return;
    }
    Logger.info(
        "request {} not served by the gateway at {}: {}; {} others left",
        request.id(),
        address,
        reason,
        gateways.size());
    context.forwarding().gateways().recordFailure(address, context.clock().nowMillis());
    tryNext();
  }

  private void fail(ResultCode code, String message) {
    finish();
    Logger.info("request {} failed with {}: {}", request.id(), code, message);
    caller.fail(
        Failure.retryLater(code, message, code == ResultCode.SHED ? RETRY_AFTER_MILLIS : 0));
  }

  private void finish() {
    finished = true;
    deadlineTimer.cancel(false);
    Channel open = connection;
    if (open != null) {
      open.close();
    }
  }

  private void onDeadline() {
    if (finished) {
      return;
    }
    if (responseStarted) {
      finish();
      caller.abort();
    } else {
      fail(
          sent ? ResultCode.DEADLINE_PASSED : ResultCode.SHED,
          sent
              ? "the deadline was exceeded after the request may have started to run"
              : "the deadline was exceeded before the request ran; retry later");
    }
  }

  @Override
  public void onCallerDisconnected() {
    if (!finished) {
      finish();
    }
  }

  @Override
  public void onCallerWritabilityChanged(boolean writable) {
    Channel open = connection;
    if (open != null) {
      open.config().setAutoRead(writable);
    }
  }

  /** Sends the request over a new connection, and passes on what comes back. */
  private final class ResponseReader extends ByteToMessageDecoder {
    private final String address;
    private boolean misdirected;
    private boolean broken;

    ResponseReader(String address) {
      this.address = address;
    }

    @Override
    public void channelActive(ChannelHandlerContext handlerContext) {
      if (finished) {
        handlerContext.close();
        return;
      }
      Logger.info(
          "request {} forwarded to the gateway at {}: this host reaches no backend server;"
              + " {} ms to deadline",
          request.id(),
          address,
          leftMillis());
      sent = true;
      handlerContext
          .writeAndFlush(context.protocol().gatewayRequest(request, leftMillis()))
          .addListener(EventLoops.REPORT_ERROR);
    }

    @Override
    protected void decode(ChannelHandlerContext handlerContext, ByteBuf in, List<Object> out) {
      if (finished || misdirected) {
        in.skipBytes(in.readableBytes());
        return;
      }
      if (!responseStarted) {
        if (in.readableBytes() < STATUS_START + STATUS_DIGITS) {
          return;
        }
        if (status(in) == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
          misdirected = true;
          in.skipBytes(in.readableBytes());
          handlerContext.close();
          return;
        }
        responseStarted = true;
      }
      caller.writeForwarded(in.readRetainedSlice(in.readableBytes()));
    }

    private static int status(ByteBuf in) {
      String digits =
          in.toString(in.readerIndex() + STATUS_START, STATUS_DIGITS, StandardCharsets.US_ASCII);
      return digits.chars().allMatch(Character::isDigit) ? Integer.parseInt(digits) : 0;
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) throws Exception {
      super.channelInactive(handlerContext);
      if (finished) {
        return;
      }
      if (misdirected) {
        tryAfter(address, "it reaches no backend server either");
      } else if (responseStarted && !broken) {
        finish();
        caller.endForwarded();
      } else if (responseStarted) {
        finish();
        caller.abort();
      } else {
        fail(
            ResultCode.BACKEND_FAILED,
            "the gateway at " + address + " ended the connection after the request may have run");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
      FatalErrors.report(cause);
      broken = true;
      handlerContext.close();
    }
  }
}
