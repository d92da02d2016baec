package org.guavagw.gateway.internal.placement;

/** Which reports of other entries this entry adds up. */
enum WorkSource {
  /** The reports of all other entries, in a small deployment. */
  ENTRIES,
  /** At a hub: the reports of the entries of its data centre, and those of other data centres. */
  DATA_CENTRES,
  /** The summary of this entry's hub alone. */
  SUMMARY
}
