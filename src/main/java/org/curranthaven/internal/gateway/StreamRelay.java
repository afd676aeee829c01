package org.curranthaven.internal.gateway;

import org.curranthaven.api.ResultCode;

/**
 * Decides how to handle each event of one request's generation, so that the caller gets every token
 * once, in order and from a single generation. Uses no clock, thread or socket. Not thread-safe.
 *
 * <p>A token that was already delivered is dropped. A token index beyond the next expected one
 * means that tokens were lost, and the stream is resumed at the first of them. After a token of a
 * generation was sent to the caller, no token of another generation is ever delivered.
 */
final class StreamRelay {
  /** Consecutive resumptions without a new token after which an engine counts as lost. */
  static final int MAX_RESUMPTIONS_WITHOUT_PROGRESS = 3;

  private final boolean streamed;
  private final boolean repeatable;
  private String generation = "";
  private boolean canResume;
  private int nextIndex;
  private int resumptionsWithoutProgress;
  private boolean engineContacted;

  /** An event of a generation. */
  sealed interface Event {
    /** A request to run or continue the generation was sent to an engine. */
    record Opened(String generation, boolean canResume) implements Event {}

    /** A token arrived. */
    record Token(String generation, int index) implements Event {}

    /** No token arrived within the token timeout of the class. */
    record TokenTimeout() implements Event {}

    /** The connection was lost or closed before the last token. */
    record Disconnected() implements Event {}

    /** The engine rejected the request before running it, or could not be reached. */
    record Rejected() implements Event {}

    /** The engine is lost, responded with an error, or no longer knows the generation. */
    record EngineLost() implements Event {}
  }

  /** What the caller of {@link #handle} must do next. */
  enum Action {
    /** Deliver the token. */
    DELIVER,
    /** Drop the token: it was already delivered, or belongs to another generation. */
    DROP,
    /** Keep waiting. */
    WAIT,
    /** Resume at the next token on the same engine, over a new connection. */
    RESUME,
    /** Continue this generation on another engine, or fail if no engine can. */
    TAKE_OVER,
    /** Run the request again as a new generation; the caller has received nothing. */
    START_AGAIN,
    /** Fail with {@link ResultCode#ENGINE_LOST}: a part was delivered. */
    FAIL_LOST,
    /** Fail with {@link ResultCode#OUTCOME_UNKNOWN}: it may have run and must not be repeated. */
    FAIL_UNKNOWN
  }

  /**
   * Creates the relay for one request.
   *
   * @param streamed whether tokens are sent to the caller as they arrive
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

  /** Handles an event and returns the action to take. */
  Action handle(Event event) {
    return switch (event) {
      case Event.Opened opened -> handleOpened(opened);
      case Event.Token token -> handleToken(token);
      case Event.TokenTimeout timeout -> canResume ? resumeOrFailOver() : Action.WAIT;
      case Event.Disconnected disconnected -> canResume ? resumeOrFailOver() : handleEngineLost();
      case Event.Rejected rejected -> handleRejected();
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
