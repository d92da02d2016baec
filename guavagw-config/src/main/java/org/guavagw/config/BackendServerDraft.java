package org.guavagw.config;

import java.util.List;
import java.util.stream.Stream;

/** Builder of a {@link BackendServerConfig}. Immutable: each call returns a new draft. */
public record BackendServerDraft(BackendServerConfig build) {
  /** Sets the data centre. */
  public BackendServerDraft in(String dataCentre) {
    return place(dataCentre, build.host(), build.port());
  }

  /** Sets the address. */
  public BackendServerDraft at(String host, int port) {
    return place(build.dataCentre(), host, port);
  }

  /** Adds versions of a model that the backend server serves. */
  public BackendServerDraft serving(String model, String... versions) {
    Stream<VersionRef> added = Stream.of(versions).map(v -> new VersionRef(model, v));
    return capacity(
        Stream.concat(build.serves().stream(), added).toList(), build.slots(), build.coldSlots());
  }

  /** Sets the maximum number of concurrent requests when warm and during a cold start. */
  public BackendServerDraft slots(int slots, int coldSlots) {
    return capacity(build.serves(), slots, coldSlots);
  }

  /** Declares that it refuses orders with an old fencing number. */
  public BackendServerDraft checkingFencing() {
    return traits(true, build.resumesStreams(), build.leaving());
  }

  /** Declares that it can resume an interrupted stream. */
  public BackendServerDraft resumingStreams() {
    return traits(build.checksFencing(), true, build.leaving());
  }

  /** Declares that it is about to be removed and takes no new requests. */
  public BackendServerDraft leaving() {
    return traits(build.checksFencing(), build.resumesStreams(), true);
  }

  private BackendServerDraft place(String dataCentre, String host, int port) {
    return new BackendServerDraft(
        new BackendServerConfig(
            build.id(),
            dataCentre,
            host,
            port,
            build.serves(),
            build.slots(),
            build.coldSlots(),
            build.checksFencing(),
            build.resumesStreams(),
            build.leaving()));
  }

  private BackendServerDraft capacity(List<VersionRef> serves, int slots, int coldSlots) {
    return new BackendServerDraft(
        new BackendServerConfig(
            build.id(),
            build.dataCentre(),
            build.host(),
            build.port(),
            serves,
            slots,
            coldSlots,
            build.checksFencing(),
            build.resumesStreams(),
            build.leaving()));
  }

  private BackendServerDraft traits(boolean fencing, boolean resumes, boolean leaving) {
    return new BackendServerDraft(
        new BackendServerConfig(
            build.id(),
            build.dataCentre(),
            build.host(),
            build.port(),
            build.serves(),
            build.slots(),
            build.coldSlots(),
            fencing,
            resumes,
            leaving));
  }
}
