package org.curranthaven.internal.clients;

/** Connects the handler of a connection's requests with its decoder and its account. */
record DecodedClient(ClientChannel client, RequestDecoder decoder) implements ClientLink {
  @Override
  public boolean hasUndecoded() {
    return decoder.hasUndecoded();
  }

  @Override
  public void proceed() {
    decoder.proceed();
  }

  @Override
  public boolean holdBody(long bytes) {
    return decoder.holdBody(bytes);
  }

  @Override
  public void reserved(long bytes) {
    client.account().reserved(bytes, client.nowMillis());
  }

  @Override
  public boolean admit() {
    return client.account().admit(client.nowMillis());
  }

  @Override
  public void awaitBodyMemory(boolean waiting) {
    client.awaitBodyMemory(waiting);
  }

  @Override
  public void responded() {
    client.account().idle(client.nowMillis());
  }

  @Override
  public void refused() {
    client.account().refused(client.nowMillis());
    decoder.dropBehind();
  }
}
