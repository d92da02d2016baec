package org.guavagw.internal.pipeline;

import org.guavagw.config.CascadeConfig;
import org.guavagw.config.VersionRef;

/**
 * What a request is addressed to: a task class, a model, a version or a plain service. Immutable.
 */
public sealed interface Target {
  /** Returns the name as the caller sent it. */
  String name();

  /** A task class with a cascade of models. */
  record Cascade(CascadeConfig config) implements Target {
    @Override
    public String name() {
      return config.taskClass();
    }
  }

  /** A model; the router chooses the version. */
  record Model(String id) implements Target {
    @Override
    public String name() {
      return id;
    }
  }

  /** One version, chosen by the caller. */
  record Version(VersionRef ref) implements Target {
    @Override
    public String name() {
      return ref.toString();
    }
  }

  /** A plain service. */
  record Service(String id) implements Target {
    @Override
    public String name() {
      return id;
    }
  }
}
