package org.curranthaven.internal.gateway;

/** Holds nothing back and sends nothing: the call itself keeps the text of a whole answer. */
final class CollectingSink implements TokenSink {
  @Override
  public boolean streamed() {
    return false;
  }

  @Override
  public void token(EngineToken token) {}

  @Override
  public void probe() {}

  @Override
  public void restart() {}
}
