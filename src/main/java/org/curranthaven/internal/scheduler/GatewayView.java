package org.curranthaven.internal.scheduler;

/**
 * What the scheduler knows of one gateway: the versions that it has acknowledged, those that were
 * sent last, and whether it has sent a full status. Confined to the event loop.
 */
final class GatewayView {
  /**
   * Time after which a catalog or list of backend servers that a gateway has not acknowledged is
   * sent again; longer than the larger of them takes to arrive over the link of a small gateway.
   */
  static final long RESEND_MILLIS = 650;

  long version;
  long catalogRevision;
  long evacuationRevision;
  boolean hasReportedState;
  long incarnation;
  long crashEvidenceVersion;
  long rateLimitsVersion;
  long capacitiesVersion;
  long statusNumber;

  /** Catalog revision and version sent last, and when. */
  private long sentCatalogRevision;

  private long catalogSentMillis;
  private long sentVersion;
  private long versionSentMillis;

  /** Returns whether the catalog is missing at the gateway and not on its way to it. */
  boolean needsCatalog(long revision, long nowMillis) {
    boolean onItsWay =
        sentCatalogRevision == revision && nowMillis - catalogSentMillis < RESEND_MILLIS;
    return catalogRevision < revision && !onItsWay;
  }

  /** Returns whether the version is missing at the gateway and not on its way to it. */
  boolean needsVersion(long newVersion, long nowMillis) {
    boolean onItsWay = sentVersion == newVersion && nowMillis - versionSentMillis < RESEND_MILLIS;
    return version < newVersion && !onItsWay;
  }

  /** Returns whether the latest full status is the given one, of the given lifetime. */
  boolean isState(long lifetime, long fullStatusNumber) {
    return hasReportedState && incarnation == lifetime && statusNumber == fullStatusNumber;
  }

  /** Returns the versions that the gateway has applied. */
  ActiveVersions active() {
    return new ActiveVersions(version, catalogRevision, evacuationRevision);
  }

  /** Records that a catalog is on its way from now on. */
  void recordCatalogSent(long revision, long nowMillis) {
    sentCatalogRevision = revision;
    catalogSentMillis = nowMillis;
  }

  /** Records that the last byte of a catalog was written. */
  void recordCatalogWritten(long revision, long nowMillis) {
    if (revision == sentCatalogRevision) {
      catalogSentMillis = nowMillis;
    }
  }

  void recordVersionSent(long newVersion, long nowMillis) {
    sentVersion = newVersion;
    versionSentMillis = nowMillis;
  }
}
