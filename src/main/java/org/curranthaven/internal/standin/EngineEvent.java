package org.curranthaven.internal.standin;

/** An event of an {@link EngineModel}. */
public sealed interface EngineEvent {
  /** Returns the id of the generation. */
  String generation();

  /** A token was produced; {@code last} means that the generation is complete. */
  record Token(String generation, int index, boolean last, long atMicros) implements EngineEvent {}

  /**
   * The generation was removed from the batch because memory ran out; its prompt and tokens are
   * computed again later.
   */
  record Preempted(String generation, long atMicros) implements EngineEvent {}
}
