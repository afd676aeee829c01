package org.curranthaven.internal.standin;

import java.util.List;
import org.curranthaven.internal.membership.BackendAnnouncement;

/**
 * Options of a stand-in backend server.
 *
 * @param name name of the backend server
 * @param dataCentre data centre of the backend server
 * @param port port to listen on at 127.0.0.1; 0 for any free port
 * @param hosts HTTP addresses of the hosts to send announcements to
 * @param model name of the engine's model or of the plain service
 * @param engine parameters of the engine model
 * @param resume which generations an engine can resume
 * @param checksFencing whether orders with an outdated fencing number are rejected
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
