package org.curranthaven.internal.gateway;

import org.curranthaven.api.ResultCode;

/**
 * Decides what becomes of each event of one generation, so that the caller gets every token once,
 * in order and from one generation. It owns no clock, thread or socket. Not thread-safe.
 *
 * <p>A token that was delivered is dropped when it comes again; a token that is ahead of the next
 * one means that some were lost, and the stream is asked for them again. Once a token of a
 * generation was delivered, no other generation is ever delivered.
 */
final class StreamRelay {
  /** Resumptions without a new token between them after which an engine counts as lost. */
  static final int MAX_RESUMPTIONS_WITHOUT_PROGRESS = 3;

  private final boolean streamed;
  private final boolean repeatable;
  private String generation = "";
  private boolean canResume;
  private int nextIndex;
  private int resumptionsWithoutProgress;
  private boolean engineContacted;

  /** What can happen to a generation. */
  sealed interface Event {
    /** An engine was asked to run or to continue the generation. */
    record Opened(String generation, boolean canResume) implements Event {}

    /** A token arrived. */
    record Token(String generation, int index) implements Event {}

    /** Nothing arrived for longer than the class's gap allows. */
    record TokenTimeout() implements Event {}

    /** The connection broke or ended before the last token. */
    record Disconnected() implements Event {}

    /** The engine refused before running. */
    record Rejected() implements Event {}

    /** The engine is lost, or does not know the generation any longer. */
    record EngineLost() implements Event {}
  }

  /** What to do next. */
  enum Action {
    /** Deliver the token. */
    DELIVER,
    /** Drop the token: it was delivered before. */
    DROP,
    /** Keep waiting. */
    WAIT,
    /** Ask the same engine for the next token over a new connection. */
    RESUME,
    /** Ask another engine to continue this generation, or fail if there is none. */
    TAKE_OVER,
    /** Run the request again as a new generation; nothing was delivered. */
    START_AGAIN,
    /** End with {@link ResultCode#ENGINE_LOST}: a part was delivered. */
    FAIL_LOST,
    /** End with {@link ResultCode#OUTCOME_UNKNOWN}: it may have run and may not be repeated. */
    FAIL_UNKNOWN
  }

  /**
   * Creates the relay of one request.
   *
   * @param streamed whether tokens go to the caller as they come
   * @param repeatable whether the request may run more than once
   */
  StreamRelay(boolean streamed, boolean repeatable) {
    this.streamed = streamed;
    this.repeatable = repeatable;
  }

  /** Returns the index of the next token to deliver. */
  int nextIndex() {
    return nextIndex;
  }

  /** Returns the generation being delivered. */
  String generation() {
    return generation;
  }

  /** Handles one event. */
  Action handle(Event event) {
    return switch (event) {
      case Event.Opened opened -> handleOpened(opened);
      case Event.Token token -> handleToken(token);
      case Event.TokenTimeout silent -> canResume ? resumeOrFailOver() : Action.WAIT;
      case Event.Disconnected broken -> canResume ? resumeOrFailOver() : handleEngineLost();
      case Event.Rejected refused -> handleRejected();
      case Event.EngineLost lost -> handleEngineLost();
    };
  }

  private Action handleOpened(Event.Opened opened) {
    if (!opened.generation().equals(generation)) {
      generation = opened.generation();
      nextIndex = 0;
      resumptionsWithoutProgress = 0;
    }
    canResume = opened.canResume();
    engineContacted = true;
    return Action.WAIT;
  }

  private Action handleToken(Event.Token token) {
    if (!token.generation().equals(generation) || token.index() < nextIndex) {
      return Action.DROP;
    }
    if (token.index() > nextIndex) {
      return canResume ? resumeOrFailOver() : handleEngineLost();
    }
    nextIndex++;
    resumptionsWithoutProgress = 0;
    return Action.DELIVER;
  }

  private Action resumeOrFailOver() {
    resumptionsWithoutProgress++;
    return resumptionsWithoutProgress <= MAX_RESUMPTIONS_WITHOUT_PROGRESS
        ? Action.RESUME
        : handleEngineLost();
  }

  private Action handleRejected() {
    if (nextIndex > 0 && streamed) {
      return Action.FAIL_LOST;
    }
    return Action.START_AGAIN;
  }

  private Action handleEngineLost() {
    boolean delivered = streamed && nextIndex > 0;
    if (!repeatable) {
      return engineContacted ? Action.FAIL_UNKNOWN : Action.START_AGAIN;
    }
    return delivered ? Action.TAKE_OVER : Action.START_AGAIN;
  }
}
