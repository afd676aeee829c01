package org.curranthaven.internal.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.curranthaven.api.Failure;
import org.curranthaven.internal.settings.Json;
import org.jspecify.annotations.Nullable;

/**
 * Sends tokens to the caller as server-sent events. The answer begins with the first token, so that
 * an error before it has a status of its own.
 */
final class StreamingSink implements TokenSink {
  private final HttpRequestContext context;
  private final CompletionFormat form;
  private @Nullable OutputStream out;

  StreamingSink(HttpRequestContext context, CompletionFormat form) {
    this.context = context;
    this.form = form;
  }

  @Override
  public boolean isStreaming() {
    return true;
  }

  @Override
  public void accept(EngineToken token) throws CallerDisconnectedException {
    send("data: " + form.chunk(token) + "\n\n");
  }

  @Override
  public void checkCaller() throws CallerDisconnectedException {
    if (out != null) {
      send(": waiting\n\n");
    }
  }

  @Override
  public void reset() {
    if (out != null) {
      throw new IllegalStateException("a stream that has begun cannot start again");
    }
  }

  /** Ends a whole stream. */
  void finish(Completion completion, boolean includeUsage) throws CallerDisconnectedException {
    if (includeUsage) {
      send("data: " + form.usageChunk(completion) + "\n\n");
    }
    send("data: [DONE]\n\n");
  }

  /** Ends a stream that broke off; the caller sees an error and no {@code [DONE]}. */
  void fail(Failure failure) throws CallerDisconnectedException {
    send("data: " + Json.text(ErrorBodies.json(failure)) + "\n\n");
  }

  private void send(String event) throws CallerDisconnectedException {
    try {
      if (out == null) {
        context.setHeader("Cache-Control", "no-cache");
        out = context.startStream("text/event-stream");
      }
      out.write(event.getBytes(StandardCharsets.UTF_8));
      out.flush();
    } catch (IOException e) {
      throw new CallerDisconnectedException(e);
    }
  }
}
