package org.curranthaven.internal.dispatch;

/**
 * Functions of the dispatch core that are active only where the deployment asks for them.
 *
 * @param reservesForUrgent whether memory that more urgent requests are expected to need is kept
 *     from less urgent ones, and clients that come back as told are served oldest first
 */
public record DispatchFeatures(boolean reservesForUrgent) {
  /** Returns the features of a deployment that asks for none. */
  public static DispatchFeatures none() {
    return new DispatchFeatures(false);
  }
}
