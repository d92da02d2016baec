package org.guavagw.gateway.model;

/** The kinds of routes, by how their requests may be executed. */
public enum RouteKind {
  /** Requests may be executed any number of times. */
  IDEMPOTENT,
  /** Requests may be executed at most once. */
  AT_MOST_ONCE,
  /** Answers are event streams; requests are executed once unless the route is resumable. */
  STREAM
}
