package org.curranthaven.internal.settings;

import org.jspecify.annotations.Nullable;

/**
 * Bound on the requests that may arrive at a cold backend server in any second, from all hosts
 * together: the cold rate of its service times the excess, plus the slack.
 *
 * @param excess factor on the cold rate
 * @param slackRequests requests beyond that
 */
public record ColdServerBound(double excess, double slackRequests) {
  static final String EXCESS_KEY = "coldServerExcess";
  static final String SLACK_KEY = "coldServerSlack";

  public ColdServerBound {
    if (excess < 1 || slackRequests < 0) {
      throw new IllegalArgumentException(
          EXCESS_KEY
              + " is "
              + excess
              + " and "
              + SLACK_KEY
              + " is "
              + slackRequests
              + "; they must be 1 or more, and 0 or more");
    }
  }

  /** Returns the bound; null if the settings have neither of its keys. */
  static @Nullable ColdServerBound read(SettingsEntries entries) {
    if (!entries.has(EXCESS_KEY) && !entries.has(SLACK_KEY)) {
      return null;
    }
    double excess = entries.has(EXCESS_KEY) ? entries.decimal(EXCESS_KEY) : 1;
    return new ColdServerBound(excess, entries.decimal(SLACK_KEY));
  }
}
