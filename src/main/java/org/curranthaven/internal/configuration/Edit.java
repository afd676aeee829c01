package org.curranthaven.internal.configuration;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.curranthaven.api.Model;
import org.curranthaven.api.PlainService;
import org.curranthaven.api.ServiceClass;
import org.curranthaven.api.Workspace;

/** Edit of one item of the configuration. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "edit")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Edit.PutClass.class, name = "putClass"),
  @JsonSubTypes.Type(value = Edit.PutWorkspace.class, name = "putWorkspace"),
  @JsonSubTypes.Type(value = Edit.PutModel.class, name = "putModel"),
  @JsonSubTypes.Type(value = Edit.PutService.class, name = "putService"),
  @JsonSubTypes.Type(value = Edit.Remove.class, name = "remove"),
})
public sealed interface Edit {
  /** Adds or replaces a class. */
  record PutClass(ServiceClass value) implements Edit {}

  /** Adds or replaces a workspace. */
  record PutWorkspace(Workspace value) implements Edit {}

  /** Adds or replaces a model. */
  record PutModel(Model value) implements Edit {}

  /** Adds or replaces a plain service. */
  record PutService(PlainService value) implements Edit {}

  /** Removes an item. */
  record Remove(Kind kind, String name) implements Edit {}

  /** Kind of a configuration item. */
  enum Kind {
    CLASS,
    WORKSPACE,
    MODEL,
    SERVICE
  }
}
