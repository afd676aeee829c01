package org.curranthaven.internal.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.curranthaven.api.Failure;
import org.curranthaven.internal.settings.Json;
import org.jspecify.annotations.Nullable;

/**
 * Sends tokens to the caller as server-sent events. The response is started with the first token,
 * so that an earlier error can still be reported with its HTTP status.
 */
final class StreamingSink implements TokenSink {
  private final HttpRequestContext context;
  private final CompletionFormat format;
  private @Nullable OutputStream body;

  StreamingSink(HttpRequestContext context, CompletionFormat format) {
    this.context = context;
    this.format = format;
  }

  @Override
  public boolean isStreaming() {
    return true;
  }

  @Override
  public void accept(EngineToken token) throws CallerDisconnectedException {
    send("data: " + format.chunk(token) + "\n\n");
  }

  @Override
  public void checkCaller() throws CallerDisconnectedException {
    if (body != null) {
      send(": waiting\n\n");
    }
  }

  @Override
  public void reset() {
    if (body != null) {
      throw new IllegalStateException(
          "cannot restart a response stream after its first token was sent");
    }
  }

  /** Ends a complete stream. */
  void finish(Completion completion, boolean includeUsage) throws CallerDisconnectedException {
    if (includeUsage) {
      send("data: " + format.usageChunk(completion) + "\n\n");
    }
    send("data: [DONE]\n\n");
  }

  /** Ends an incomplete stream; the caller receives an error instead of {@code [DONE]}. */
  void fail(Failure failure) throws CallerDisconnectedException {
    send("data: " + Json.text(ErrorBodies.json(failure)) + "\n\n");
  }

  private void send(String event) throws CallerDisconnectedException {
    try {
      if (body == null) {
        context.setHeader("Cache-Control", "no-cache");
        body = context.startStream("text/event-stream");
      }
      body.write(event.getBytes(StandardCharsets.UTF_8));
      body.flush();
    } catch (IOException e) {
      throw new CallerDisconnectedException(e);
    }
  }
}
