package org.curranthaven.internal.gateway;

/** Sink of a response that is sent complete; {@link GenerationHandler} collects its text. */
final class NonStreamingSink implements TokenSink {
  @Override
  public boolean isStreaming() {
    return false;
  }

  @Override
  public void accept(EngineToken token) {}

  @Override
  public void checkCaller() {}

  @Override
  public void reset() {}
}
