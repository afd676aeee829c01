package org.curranthaven.internal.routing;

import java.util.Set;
import org.curranthaven.api.Targets;

/**
 * What is known of a request when it arrives; the length of its output is not.
 *
 * @param id number of the request on this host
 * @param workspace workspace that asks
 * @param className class of work
 * @param targets targets of the class
 * @param model model asked for, or {@code service:NAME} for a plain service
 * @param promptTokens length of the prompt, in tokens
 * @param maxOutputTokens largest output allowed, in tokens
 * @param prefixHash hash of the prompt's beginning, for prefix caches; 0 when there is none
 * @param arrivedAtMillis when the caller asked
 * @param excludedServers servers that refused or lost this request before
 */
public record RequestAttributes(
    long id,
    String workspace,
    String className,
    Targets targets,
    String model,
    int promptTokens,
    int maxOutputTokens,
    long prefixHash,
    long arrivedAtMillis,
    Set<String> excludedServers) {
  public RequestAttributes {
    excludedServers = Set.copyOf(excludedServers);
  }

  /**
   * Returns the request for another attempt.
   *
   * @param newId number of the attempt
   * @param tokensSoFar tokens that the attempt continues from; 0 for a new start
   * @param excluded servers that the attempt should not go to
   */
  public RequestAttributes attempt(long newId, int tokensSoFar, Set<String> excluded) {
    return new RequestAttributes(
        newId,
        workspace,
        className,
        targets,
        model,
        promptTokens + tokensSoFar,
        maxOutputTokens,
        prefixHash,
        arrivedAtMillis,
        excluded);
  }

  /** Returns the same request with another time of arrival. */
  public RequestAttributes withArrivedAtMillis(long millis) {
    return new RequestAttributes(
        id,
        workspace,
        className,
        targets,
        model,
        promptTokens,
        maxOutputTokens,
        prefixHash,
        millis,
        excludedServers);
  }

  /** Returns the time by which the first reply is due. */
  public long firstReplyDueMillis() {
    return arrivedAtMillis + targets.firstReplyMillis();
  }

  /** Returns the time by which the whole answer is due. */
  public long responseDueMillis() {
    return arrivedAtMillis + targets.answerMillis();
  }
}
