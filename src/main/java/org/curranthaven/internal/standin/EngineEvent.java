package org.curranthaven.internal.standin;

/** What an {@link EngineModel} did. */
public sealed interface EngineEvent {
  /** Returns the generation concerned. */
  String generation();

  /** A token came out at {@code atMicros}; {@code last} tells that the generation is complete. */
  record Token(String generation, int index, boolean last, long atMicros) implements EngineEvent {}

  /** Memory ran out and the generation lost its place; it starts again later from its prompt. */
  record Preempted(String generation, long atMicros) implements EngineEvent {}
}
