package org.curranthaven.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

/** Compares what callers and servers saw with what is promised to them. */
final class SoakVerdict {
  static final int RETRY_SLACK = 20;
  private static final double RETRY_RATIO = 0.2;
  private static final long RETRY_WINDOW_MILLIS = 10_000;
  private static final long EVACUATION_MILLIS = 5_000;
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  /** A whole event, with the software version of its server. */
  private static final Pattern EVENT = Pattern.compile("data: \\S+ by (\\S+)\n\n");

  private final List<SoakCaller.Reply> replies;
  private final List<SoakScript.Answer> answers;
  private final Map<String, List<SoakScript.Answer>> answersById = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private double worstRetries = Double.NEGATIVE_INFINITY;

  SoakVerdict(
      List<SoakCaller.Reply> replies,
      List<SoakScript.Answer> answers,
      List<SoakOperator.Evacuation> evacuations) {
    this.replies = replies;
    this.answers = answers;
    for (SoakScript.Answer answer : answers) {
      answersById.computeIfAbsent(answer.requestId(), id -> new ArrayList<>()).add(answer);
    }
    replies.forEach(this::checkReply);
    checkVersions();
    evacuations.forEach(this::checkEvacuation);
    checkRetries(SoakRoutes.PLAIN);
    checkRetries(SoakRoutes.OTHER);
  }

  List<String> violations() {
    return violations;
  }

  /** Returns the retries past the limit in the worst window; negative if all were below it. */
  double worstRetries() {
    return worstRetries;
  }

  private void checkReply(SoakCaller.Reply reply) {
    List<SoakScript.Answer> own = answersById.getOrDefault(reply.requestId(), List.of());
    long runs = own.stream().filter(SoakScript.Answer::ran).count();
    boolean repeatable = SoakRoutes.isRepeatable(reply.path());
    check(repeatable || runs <= 1, "a request that may not repeat ran twice", reply, own);
    check(
        repeatable || runs == 0 || !NOT_RUN.contains(reply.status()),
        "a request that ran was answered as not run",
        reply,
        own);
    check(runs <= SoakRoutes.ATTEMPTS, "more attempts than the route allows", reply, own);
    check(!reply.stray(), "bytes that are no response to the request", reply, own);
    check(
        own.stream()
            .filter(SoakScript.Answer::ran)
            .allMatch(answer -> answer.server().service().equals(SoakRoutes.service(reply.path()))),
        "ran at another service",
        reply,
        own);
    if (reply.isSuccess() && SoakRoutes.isStream(reply.path())) {
      check(isOwnStream(reply, own), "not the events of the stream", reply, own);
    } else if (reply.isSuccess() || reply.sealed()) {
      check(isOwnAnswer(reply, own), "not the whole answer of its server", reply, own);
    }
  }

  private void check(
      boolean kept, String violation, SoakCaller.Reply reply, List<SoakScript.Answer> own) {
    if (!kept) {
      violations.add(violation + ": " + reply + ", servers: " + own);
    }
  }

  private static boolean isOwnAnswer(SoakCaller.Reply reply, List<SoakScript.Answer> own) {
    return reply.sealed()
        && own.stream()
            .anyMatch(
                answer ->
                    reply.complete()
                        ? answer.status() == reply.status() && answer.body().equals(reply.body())
                        : answer.body().startsWith(reply.body()));
  }

  private static boolean isOwnStream(SoakCaller.Reply reply, List<SoakScript.Answer> own) {
    return reply.sealed()
        && own.stream()
            .filter(answer -> answer.status() == SoakResponses.OK)
            .map(answer -> events(reply, answer.server().version()))
            .anyMatch(
                events ->
                    reply.complete()
                        ? events.equals(reply.body())
                        : events.startsWith(reply.body()));
  }

  /** Returns all events that a request asked for, as servers of one software version write them. */
  private static String events(SoakCaller.Reply reply, String version) {
    StringBuilder events = new StringBuilder();
    for (int number = reply.firstEvent(); number <= SoakScript.EVENTS; number++) {
      events.append(SoakResponses.event(reply.path(), number, version));
    }
    return events.toString();
  }

  /** Checks the streams that callers put together from several replies. */
  private void checkVersions() {
    Map<String, Set<String>> versionsByPath = new HashMap<>();
    for (SoakCaller.Reply reply : replies) {
      if (!SoakRoutes.isStream(reply.path()) || !reply.isSuccess()) {
        continue;
      }
      if (reply.firstEvent() == 1) {
        versionsByPath.remove(reply.path());
      }
      EVENT
          .matcher(reply.body())
          .results()
          .map(MatchResult::group)
          .map(event -> event.substring(event.lastIndexOf(' ') + 1).strip())
          .forEach(
              version ->
                  versionsByPath
                      .computeIfAbsent(reply.path(), path -> new TreeSet<>())
                      .add(version));
      Set<String> versions = versionsByPath.getOrDefault(reply.path(), Set.of());
      check(
          versions.size() <= 1,
          "a stream of software versions " + versions,
          reply,
          answersById.getOrDefault(reply.requestId(), List.of()));
    }
  }

  private void checkEvacuation(SoakOperator.Evacuation evacuation) {
    Map<String, SoakCaller.Reply> replyById = new HashMap<>();
    replies.forEach(reply -> replyById.put(reply.requestId(), reply));
    for (SoakScript.Answer answer : answers) {
      if (answer.server().dataCentre().equals(SoakServers.EAST)
          && answer.status() != SoakResponses.MISDIRECTED
          && answer.atMillis() > evacuation.acknowledgedMillis() + EVACUATION_MILLIS
          && answer.atMillis() < evacuation.withdrawnMillis()) {
        violations.add(
            "reached the evacuated data centre (%s): %s, answered with %s"
                .formatted(evacuation, answer, replyById.get(answer.requestId())));
      }
    }
  }

  private void checkRetries(String service) {
    Set<String> seen = new HashSet<>();
    List<Long> repeats =
        answers.stream()
            .filter(answer -> SoakRoutes.service(answer.path()).equals(service))
            .filter(answer -> !seen.add(answer.requestId()))
            .map(SoakScript.Answer::atMillis)
            .toList();
    List<Long> requests =
        replies.stream()
            .filter(reply -> SoakRoutes.service(reply.path()).equals(service))
            .map(SoakCaller.Reply::sentMillis)
            .toList();
    for (long start : repeats) {
      long sent =
          Math.max(
              count(requests, start),
              Math.max(
                  count(requests, start - RETRY_WINDOW_MILLIS),
                  count(requests, start - RETRY_WINDOW_MILLIS / 2)));
      double excess = count(repeats, start) - RETRY_RATIO * sent - RETRY_SLACK;
      worstRetries = Math.max(worstRetries, excess);
      if (excess > 0) {
        violations.add(
            "%.1f retries of service %s past the limit from %d ms on"
                .formatted(excess, service, start));
      }
    }
  }

  private static long count(List<Long> timesMillis, long startMillis) {
    return timesMillis.stream()
        .filter(time -> time >= startMillis && time < startMillis + RETRY_WINDOW_MILLIS)
        .count();
  }
}
