package org.guavagw.gateway.model;

/** What the routes of a kind allow to be executed again. */
public enum Repeatability {
  /** May be executed any number of times. */
  IDEMPOTENT,
  /** May be executed at most once. */
  AT_MOST_ONCE,
  /** A stream of events; executed once unless the route lets it resume. */
  STREAM
}
