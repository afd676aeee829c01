package org.curranthaven.internal.routing;

import java.util.Set;
import org.curranthaven.api.Targets;

/**
 * Attributes of a request that are known on its arrival; the output length is not among them.
 *
 * @param id number of the request on this host
 * @param workspace workspace that sent the request
 * @param className name of the request's service class
 * @param targets latency targets of the class
 * @param model requested model, or {@code service:NAME} for a plain service
 * @param promptTokens length of the prompt, in tokens
 * @param maxOutputTokens largest output allowed, in tokens
 * @param prefixHash hash of the prompt's beginning, for prefix caches; 0 if there is none
 * @param arrivedAtMillis time of arrival
 * @param excludedServers backend servers that rejected or lost this request in earlier attempts
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
   * Returns the attributes of another attempt of this request.
   *
   * @param newId number of the attempt
   * @param tokensSoFar output tokens that the attempt continues from; 0 if it starts over
   * @param excluded backend servers that the attempt should avoid
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

  /** Returns a copy of this request with another arrival time. */
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

  /** Returns the due time of the first reply. */
  public long firstReplyDueMillis() {
    return arrivedAtMillis + targets.firstReplyMillis();
  }

  /** Returns the due time of the complete response. */
  public long responseDueMillis() {
    return arrivedAtMillis + targets.answerMillis();
  }
}
