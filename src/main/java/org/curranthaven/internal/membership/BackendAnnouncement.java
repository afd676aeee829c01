package org.curranthaven.internal.membership;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import org.curranthaven.api.Names;

/**
 * Announcement in which a backend server describes itself and its current load.
 *
 * @param name name of the backend server
 * @param incarnation start time of its process; a later one replaces an earlier one
 * @param sequence sequence number of the announcement within the incarnation
 * @param address IP address and port that takes requests
 * @param dataCentre data centre of the backend server
 * @param models models and adapters it serves
 * @param service plain service it serves; empty for an engine
 * @param role role of an engine, such as {@code general} or {@code prefill}
 * @param blocksTotal total number of memory blocks; 0 for a plain service
 * @param blocksFree number of free memory blocks
 * @param running number of requests being served
 * @param waiting number of requests in the backend server's own queue
 * @param maxBatch maximum number of requests served at once; 0 if not announced
 * @param honoursPriority whether requests with a lower priority number are served first
 * @param resume which generations the backend server can resume
 * @param checksFencing whether commands with an outdated fencing number are rejected
 * @param state whether the backend server takes new requests
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record BackendAnnouncement(
    String name,
    long incarnation,
    long sequence,
    String address,
    String dataCentre,
    List<String> models,
    String service,
    String role,
    int blocksTotal,
    int blocksFree,
    int running,
    int waiting,
    int maxBatch,
    boolean honoursPriority,
    Resume resume,
    boolean checksFencing,
    State state) {

  /** Which generations a backend server can resume. */
  public enum Resume {
    /** None. */
    NONE,
    /** Its own generations. */
    OWN,
    /**
     * Also those of another backend server: the same generation continues from its tokens so far.
     */
    TAKEOVER
  }

  /** Whether a backend server takes new requests. */
  public enum State {
    /** Takes new requests. */
    READY,
    /** Takes no new requests and finishes the running ones. */
    LEAVING,
    /** About to be removed: running generations should migrate to other engines. */
    RECLAIMED
  }

  public BackendAnnouncement {
    Names.requireName("backend server", name);
    if (address == null || !address.matches("[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}")) {
      throw new IllegalArgumentException(
          "address of backend server " + name + " must be IP:PORT, but is '" + address + "'");
    }
    if (blocksTotal < 0 || blocksFree < 0 || blocksFree > blocksTotal) {
      throw new IllegalArgumentException(
          "blocksFree of backend server "
              + name
              + " must be between 0 and blocksTotal ("
              + blocksTotal
              + "), but is "
              + blocksFree);
    }
    if (running < 0 || waiting < 0 || maxBatch < 0 || sequence < 0 || incarnation < 0) {
      throw new IllegalArgumentException(
          "running, waiting, maxBatch, sequence and incarnation of backend server "
              + name
              + " must not be negative");
    }
    dataCentre = dataCentre == null ? "" : dataCentre;
    models = models == null ? List.of() : List.copyOf(models);
    service = service == null ? "" : service;
    role = role == null ? "" : role;
    resume = resume == null ? Resume.NONE : resume;
    state = state == null ? State.READY : state;
  }

  /** Returns whether the same backend server sent this announcement after {@code other}. */
  public boolean isNewerThan(BackendAnnouncement other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : sequence > other.sequence;
  }
}
