package org.curranthaven.internal.configuration;

import com.google.protobuf.ByteString;
import org.curranthaven.api.Configuration;
import org.curranthaven.internal.catalog.CatalogState;
import org.curranthaven.internal.catalog.CrashSuspectState;
import org.curranthaven.internal.catalog.EvacuationState;
import org.curranthaven.internal.catalog.ServedVersions;
import org.curranthaven.internal.catalog.StreamOriginState;
import org.curranthaven.internal.consensus.StateMachine;
import org.curranthaven.internal.placement.PlacementState;
import org.curranthaven.internal.settings.Json;
import org.jspecify.annotations.Nullable;

/**
 * Replicated state of group 0: the configuration, the placement lease, the catalog, the software
 * versions that have served, the evacuated data centres, the origins of streams and what may crash
 * backend servers. Not thread-safe.
 */
public final class FleetState implements StateMachine {
  private final ConfigurationState configuration = new ConfigurationState();
  private final PlacementState placement = new PlacementState();
  private final CatalogState catalog = new CatalogState();
  private final ServedVersions servedVersions = new ServedVersions();
  private final EvacuationState evacuation = new EvacuationState();
  private final StreamOriginState streamOrigins = new StreamOriginState();
  private final CrashSuspectState crashSuspects = new CrashSuspectState();

  private record Snapshot(
      ConfigurationState.Snapshot configuration,
      PlacementState.Snapshot placement,
      CatalogState.@Nullable Snapshot catalog,
      ServedVersions.@Nullable Snapshot servedVersions,
      EvacuationState.@Nullable Snapshot evacuation,
      StreamOriginState.@Nullable Snapshot streamOrigins,
      CrashSuspectState.@Nullable Snapshot crashSuspects) {}

  /** Returns the latest committed configuration. */
  public Configuration current() {
    return configuration.current();
  }

  /** Returns the state of the configuration, with its history. */
  public ConfigurationState configuration() {
    return configuration;
  }

  /** Returns the state of the catalog. */
  public CatalogState catalog() {
    return catalog;
  }

  /** Returns the software versions at which streams may have begun. */
  public ServedVersions servedVersions() {
    return servedVersions;
  }

  /** Returns the orders to evacuate data centres. */
  public EvacuationState evacuation() {
    return evacuation;
  }

  /** Returns the origins of streams that may be taken up. */
  public StreamOriginState streamOrigins() {
    return streamOrigins;
  }

  /** Returns what may crash backend servers. */
  public CrashSuspectState crashSuspects() {
    return crashSuspects;
  }

  /** Returns the state of the placement lease. */
  public PlacementState placement() {
    return placement;
  }

  @Override
  public ByteString apply(long index, ByteString entry) {
    Object result =
        switch (Json.read(entry, FleetCommand.class)) {
          case FleetCommand.Change change -> configuration.apply(change.change());
          case FleetCommand.Placement command -> placement.apply(command.placement());
          case FleetCommand.ReplaceCatalog replace ->
              catalog.replace(replace.revision(), replace.document());
          case FleetCommand.ReadCatalog ignored -> catalog.revision();
          case FleetCommand.AddServedVersion add -> servedVersions.add(add.version());
          case FleetCommand.RemoveServedVersions remove ->
              servedVersions.removeAll(remove.versions());
          case FleetCommand.RecordStreamOrigins record -> recordOrigins(record);
          case FleetCommand.RecordCrashSuspects record -> crashSuspects.replace(record.suspects());
          case FleetCommand.Evacuate order ->
              evacuation.evacuate(order.dataCentre(), order.revision());
          case FleetCommand.EndEvacuation end ->
              evacuation.endEvacuation(end.dataCentre(), end.revision());
          case FleetCommand.ReadEvacuation ignored -> evacuation.read();
          case FleetCommand.AddDataCentre add -> evacuation.recordKnown(add.dataCentre());
        };
    return Json.write(result);
  }

  private int recordOrigins(FleetCommand.RecordStreamOrigins command) {
    if (command.startsGeneration()) {
      streamOrigins.startGeneration();
    }
    return streamOrigins.record(command.origins());
  }

  @Override
  public ByteString snapshot() {
    return Json.write(
        new Snapshot(
            configuration.snapshot(),
            placement.snapshot(),
            catalog.snapshot(),
            servedVersions.snapshot(),
            evacuation.snapshot(),
            streamOrigins.snapshot(),
            crashSuspects.snapshot()));
  }

  @Override
  public void restore(ByteString state) {
    Snapshot snapshot = Json.read(state, Snapshot.class);
    configuration.restore(snapshot.configuration());
    placement.restore(snapshot.placement());
    if (snapshot.catalog() != null) {
      catalog.restore(snapshot.catalog());
    }
    if (snapshot.servedVersions() != null) {
      servedVersions.restore(snapshot.servedVersions());
    }
    if (snapshot.evacuation() != null) {
      evacuation.restore(snapshot.evacuation());
    }
    if (snapshot.streamOrigins() != null) {
      streamOrigins.restore(snapshot.streamOrigins());
    }
    if (snapshot.crashSuspects() != null) {
      crashSuspects.restore(snapshot.crashSuspects());
    }
  }
}
