package org.curranthaven.internal.configuration;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.curranthaven.internal.catalog.CrashSuspectState;
import org.curranthaven.internal.catalog.ServiceVersion;
import org.curranthaven.internal.catalog.StreamOriginState;
import org.curranthaven.internal.placement.PlacementCommand;
import org.jspecify.annotations.Nullable;

/** Command that is replicated in group 0. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "command")
@JsonSubTypes({
  @JsonSubTypes.Type(value = FleetCommand.Change.class, name = "change"),
  @JsonSubTypes.Type(value = FleetCommand.Placement.class, name = "placement"),
  @JsonSubTypes.Type(value = FleetCommand.ReplaceCatalog.class, name = "replaceCatalog"),
  @JsonSubTypes.Type(value = FleetCommand.ReadCatalog.class, name = "readCatalog"),
  @JsonSubTypes.Type(value = FleetCommand.AddServedVersion.class, name = "addServedVersion"),
  @JsonSubTypes.Type(
      value = FleetCommand.RemoveServedVersions.class,
      name = "removeServedVersions"),
  @JsonSubTypes.Type(value = FleetCommand.RecordStreamOrigins.class, name = "recordStreamOrigins"),
  @JsonSubTypes.Type(value = FleetCommand.RecordCrashSuspects.class, name = "recordCrashSuspects"),
  @JsonSubTypes.Type(value = FleetCommand.Evacuate.class, name = "evacuate"),
  @JsonSubTypes.Type(value = FleetCommand.EndEvacuation.class, name = "endEvacuation"),
  @JsonSubTypes.Type(value = FleetCommand.ReadEvacuation.class, name = "readEvacuation"),
  @JsonSubTypes.Type(value = FleetCommand.AddDataCentre.class, name = "addDataCentre"),
})
public sealed interface FleetCommand {
  /** Changes the configuration. */
  record Change(ConfigurationChange change) implements FleetCommand {}

  /** Replaces the catalog document if its revision is higher than the current one. */
  @SuppressWarnings("ArrayRecordComponent")
  record ReplaceCatalog(long revision, byte[] document) implements FleetCommand {}

  /** Changes nothing; once it has been applied, the leader's state is known to be the latest. */
  record ReadCatalog() implements FleetCommand {}

  /** Adds a software version at which streams may begin. */
  record AddServedVersion(ServiceVersion version) implements FleetCommand {}

  /** Removes software versions at which no stream that may be taken up has begun. */
  record RemoveServedVersions(List<ServiceVersion> versions) implements FleetCommand {
    public RemoveServedVersions {
      versions = List.copyOf(versions);
    }
  }

  /**
   * Records which software versions began streams.
   *
   * @param startsGeneration whether a generation starts first, so that streams are forgotten which
   *     were recorded neither in the present one nor with this command
   */
  record RecordStreamOrigins(List<StreamOriginState.BegunAt> origins, boolean startsGeneration)
      implements FleetCommand {
    public RecordStreamOrigins {
      origins = List.copyOf(origins);
    }
  }

  /** Replaces what may crash backend servers. */
  record RecordCrashSuspects(CrashSuspectState.Snapshot suspects) implements FleetCommand {}

  /** An order about the evacuation of a data centre. */
  sealed interface EvacuationOrder extends FleetCommand {
    /** Returns the data centre that the order is about. */
    String dataCentre();

    /**
     * Returns the revision of the evacuated data centres that the order was made for; null in an
     * order that asks for the present one, and in entries of earlier software, which apply always.
     */
    @Nullable Long revision();
  }

  /** Orders that nothing more is sent to the backend servers of a data centre. */
  record Evacuate(String dataCentre, @Nullable Long revision) implements EvacuationOrder {
    public Evacuate(String dataCentre) {
      this(dataCentre, null);
    }
  }

  /** Withdraws the order to evacuate a data centre. */
  record EndEvacuation(String dataCentre, @Nullable Long revision) implements EvacuationOrder {
    public EndEvacuation(String dataCentre) {
      this(dataCentre, null);
    }
  }

  /** Changes nothing; its result is the latest state of the evacuated data centres. */
  record ReadEvacuation() implements FleetCommand {}

  /** Records that a backend server of the data centre has registered. */
  record AddDataCentre(String dataCentre) implements FleetCommand {}

  /** Acquires or renews the placement lease, or records a load of model weights. */
  record Placement(PlacementCommand placement) implements FleetCommand {}
}
