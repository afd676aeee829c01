package org.curranthaven.internal.routing;

/**
 * Constants of the forecast policy and switches for its mechanisms.
 *
 * @param deviations standard deviations above the mean at which memory growth is forecast
 * @param memoryShare share of a server's memory that the forecast may reach
 * @param headroomMillis arrivals of tighter classes for which a looser class leaves memory free
 * @param sampledServers servers drawn at random from the admissible ones before the best is taken;
 *     0 means all
 * @param prefixBonusRequests running requests that a certain prefix hit is worth
 * @param prefixHalfLifeMillis age at which a cache event is trusted half as much
 * @param gapAware whether a server whose gap would exceed the class's target is passed over
 * @param rampMillis time over which a server that has just become ready is filled
 * @param shedding whether requests that cannot meet their target are given up early
 * @param oracle whether the core is told true lengths, for comparison only
 */
public record ForecastOptions(
    double deviations,
    double memoryShare,
    long headroomMillis,
    int sampledServers,
    double prefixBonusRequests,
    double prefixHalfLifeMillis,
    boolean gapAware,
    long rampMillis,
    boolean shedding,
    boolean oracle) {

  /** Returns the options in force. */
  public static ForecastOptions standard() {
    return new ForecastOptions(2.0, 0.95, 500, 0, 2, 20_000, true, 2_000, true, false);
  }

  /** Returns the options of the oracle: exact lengths need no deviations. */
  public static ForecastOptions oracleOptions() {
    return new ForecastOptions(0, 0.97, 500, 0, 2, 20_000, true, 2_000, true, true);
  }

  /** Returns the options with another {@code deviations}. */
  public ForecastOptions withDeviations(double value) {
    return new ForecastOptions(
        value,
        memoryShare,
        headroomMillis,
        sampledServers,
        prefixBonusRequests,
        prefixHalfLifeMillis,
        gapAware,
        rampMillis,
        shedding,
        oracle);
  }

  /** Returns the options with another {@code memoryShare}. */
  public ForecastOptions withMemoryShare(double value) {
    return new ForecastOptions(
        deviations,
        value,
        headroomMillis,
        sampledServers,
        prefixBonusRequests,
        prefixHalfLifeMillis,
        gapAware,
        rampMillis,
        shedding,
        oracle);
  }

  /** Returns the options with another {@code headroomMillis}. */
  public ForecastOptions withHeadroomMillis(long value) {
    return new ForecastOptions(
        deviations,
        memoryShare,
        value,
        sampledServers,
        prefixBonusRequests,
        prefixHalfLifeMillis,
        gapAware,
        rampMillis,
        shedding,
        oracle);
  }

  /** Returns the options with another {@code sampledServers}. */
  public ForecastOptions withSampledServers(int value) {
    return new ForecastOptions(
        deviations,
        memoryShare,
        headroomMillis,
        value,
        prefixBonusRequests,
        prefixHalfLifeMillis,
        gapAware,
        rampMillis,
        shedding,
        oracle);
  }

  /** Returns the options with another {@code prefixBonusRequests}. */
  public ForecastOptions withPrefixBonus(double value) {
    return new ForecastOptions(
        deviations,
        memoryShare,
        headroomMillis,
        sampledServers,
        value,
        prefixHalfLifeMillis,
        gapAware,
        rampMillis,
        shedding,
        oracle);
  }

  /** Returns the options with another {@code gapAware}. */
  public ForecastOptions withGapAware(boolean value) {
    return new ForecastOptions(
        deviations,
        memoryShare,
        headroomMillis,
        sampledServers,
        prefixBonusRequests,
        prefixHalfLifeMillis,
        value,
        rampMillis,
        shedding,
        oracle);
  }

  /** Returns the options with another {@code shedding}. */
  public ForecastOptions withShedding(boolean value) {
    return new ForecastOptions(
        deviations,
        memoryShare,
        headroomMillis,
        sampledServers,
        prefixBonusRequests,
        prefixHalfLifeMillis,
        gapAware,
        rampMillis,
        value,
        oracle);
  }
}
