package org.curranthaven.internal.relay;

/** A request that a caller's connection waits for. Confined to the event loop. */
sealed interface CallerRequest permits RoutedRequest, ForwardedRequest {
  /** Cancels the request when the caller has disconnected. */
  void onCallerDisconnected();

  /** Stops or goes on reading the response as the caller's connection takes it. */
  void onCallerWritabilityChanged(boolean writable);
}
