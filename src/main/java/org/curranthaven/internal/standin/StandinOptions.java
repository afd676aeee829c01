package org.curranthaven.internal.standin;

import java.util.List;
import org.curranthaven.internal.membership.BackendAnnouncement;

/**
 * Options of a stand-in backend server.
 *
 * @param name name of the server
 * @param dataCentre data centre it stands in
 * @param port port to listen on at 127.0.0.1; 0 for any
 * @param hosts HTTP addresses of the hosts to announce to
 * @param model model of an engine, or name of a plain service
 * @param engine constants of the engine model
 * @param resume which generations an engine can resume
 * @param checksFencing whether orders with an old fencing number are refused
 */
public record StandinOptions(
    String name,
    String dataCentre,
    int port,
    List<String> hosts,
    String model,
    EngineOptions engine,
    BackendAnnouncement.Resume resume,
    boolean checksFencing) {
  public StandinOptions {
    hosts = List.copyOf(hosts);
  }
}
