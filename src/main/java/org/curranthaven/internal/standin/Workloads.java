package org.curranthaven.internal.standin;

import java.util.ArrayList;
import java.util.List;
import org.curranthaven.api.Model;
import org.curranthaven.api.PlainService;
import org.curranthaven.api.ServiceClass;
import org.curranthaven.api.Targets;
import org.curranthaven.api.Workspace;
import org.curranthaven.internal.configuration.Edit;
import org.curranthaven.internal.gateway.Hashes;

/** The load's two workloads: service classes with their targets, and kinds of requests. */
public final class Workloads {
  /** Name of the archive's model. */
  public static final String STORY_MODEL = "story";

  /** Name of the lounges' model. */
  public static final String LOUNGE_MODEL = "lounge";

  /** Name of the plain service of the lounges' desks. */
  public static final String DESK_SERVICE = "desk";

  /** Name of the plain service of the archive. */
  public static final String ARCHIVE_SERVICE = "archive";

  /** API key of the load's workspace, sent as a bearer token. */
  public static final String API_KEY = "demo-key";

  private Workloads() {}

  /** Returns the service classes. */
  public static List<ServiceClass> serviceClasses() {
    return List.of(
        new ServiceClass("door", new Targets(400, 100, 5_000), true),
        new ServiceClass("note", new Targets(1_000, 100, 20_000), true),
        new ServiceClass("summary", new Targets(2_500, 120, 180_000), true),
        new ServiceClass("draft", new Targets(4_000, 120, 600_000), true),
        new ServiceClass("tag", new Targets(2_000, 200, 30_000), false),
        new ServiceClass("hold", new Targets(500, 500, 5_000), false),
        new ServiceClass("charge", new Targets(800, 800, 5_000), false),
        new ServiceClass("page", new Targets(500, 500, 5_000), true));
  }

  /** Returns the kinds of requests of both workloads. */
  public static List<RequestKind> requestKinds() {
    return List.of(
        new RequestKind("door", LOUNGE_MODEL, false, true, 60, 8, 0.3, 8),
        new RequestKind("note", LOUNGE_MODEL, false, true, 120, 50, 0.4, 3),
        new RequestKind("summary", LOUNGE_MODEL, false, true, 400, 300, 0.5, 1),
        new RequestKind("draft", STORY_MODEL, false, true, 200, 400, 0.6, 1.5),
        new RequestKind("tag", STORY_MODEL, false, false, 300, 20, 0.4, 2),
        new RequestKind("hold", DESK_SERVICE, true, false, 0, 0, 0, 5),
        new RequestKind("charge", DESK_SERVICE, true, false, 0, 0, 0, 2),
        new RequestKind("page", ARCHIVE_SERVICE, true, false, 0, 0, 0, 5));
  }

  /** Returns the configuration edits that the load needs. */
  public static List<Edit> configurationEdits() {
    List<Edit> edits = new ArrayList<>();
    serviceClasses().forEach(serviceClass -> edits.add(new Edit.PutClass(serviceClass)));
    edits.add(new Edit.PutModel(new Model(STORY_MODEL, 8_192)));
    edits.add(new Edit.PutModel(new Model(LOUNGE_MODEL, 4_096)));
    edits.add(new Edit.PutService(new PlainService(DESK_SERVICE, "hold")));
    edits.add(new Edit.PutService(new PlainService(ARCHIVE_SERVICE, "page")));
    edits.add(new Edit.PutWorkspace(new Workspace("demo", Hashes.sha256Hex(API_KEY), "note", 0)));
    return edits;
  }
}
