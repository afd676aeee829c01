package org.curranthaven.internal.gateway;

/** Holds nothing back and sends nothing: the call itself keeps the text of a whole answer. */
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
