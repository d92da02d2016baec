package org.guavagw;

import java.time.Duration;

/**
 * Settings of one entry. Immutable.
 *
 * <pre>{@code
 * EntrySettings settings =
 *     EntrySettings.builder("entry-1", "aswan-hq").callerPort(8080).peerSecret(secret).build();
 * }</pre>
 */
public final class EntrySettings {
  private final Builder values;

  private EntrySettings(Builder values) {
    this.values = values;
  }

  /** Returns a builder with the default settings for an entry in a data centre. */
  public static Builder builder(String entryId, String dataCentre) {
    return new Builder(entryId, dataCentre);
  }

  /** Returns the unique name of the entry. */
  public String entryId() {
    return values.entryId;
  }

  /** Returns the data centre of the entry. */
  public String dataCentre() {
    return values.dataCentre;
  }

  /** Returns the address on which the entry listens and at which its peers reach it. */
  public String host() {
    return values.host;
  }

  /** Returns the port for callers; 0 selects a free port. */
  public int callerPort() {
    return values.callerPort;
  }

  /** Returns the port of the operators' API; 0 selects a free port. */
  public int adminPort() {
    return values.adminPort;
  }

  /** Returns the port for other entries; 0 selects a free port. */
  public int controlPort() {
    return values.controlPort;
  }

  /** Returns the shared secret with which entries authenticate to each other. */
  public String peerSecret() {
    return values.peerSecret;
  }

  /** Returns the token that operators send; an empty token disables the operators' API. */
  public String adminToken() {
    return values.adminToken;
  }

  /** Returns the number of threads that handle requests, one request per thread. */
  public int workerThreads() {
    return values.workerThreads;
  }

  /** Returns the time without a byte after which a backend server connection counts as dead. */
  public Duration silenceTimeout() {
    return values.silenceTimeout;
  }

  /** Returns how long the load balancer may send requests after the entry is no longer ready. */
  public Duration balancerLag() {
    return values.balancerLag;
  }

  /** Returns how long a shutdown waits for in-flight requests. */
  public Duration shutdownLimit() {
    return values.shutdownLimit;
  }

  /** Builder of {@link EntrySettings}. Not thread-safe. */
  public static final class Builder {
    private static final int DEFAULT_WORKER_THREADS = 512;
    private static final Duration DEFAULT_SILENCE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration DEFAULT_BALANCER_LAG = Duration.ofSeconds(3);
    private static final Duration DEFAULT_SHUTDOWN_LIMIT = Duration.ofMinutes(15);

    private final String entryId;
    private final String dataCentre;
    private String host = "127.0.0.1";
    private int callerPort;
    private int adminPort;
    private int controlPort;
    private String peerSecret = "";
    private String adminToken = "";
    private int workerThreads = DEFAULT_WORKER_THREADS;
    private Duration silenceTimeout = DEFAULT_SILENCE_TIMEOUT;
    private Duration balancerLag = DEFAULT_BALANCER_LAG;
    private Duration shutdownLimit = DEFAULT_SHUTDOWN_LIMIT;

    private Builder(String entryId, String dataCentre) {
      this.entryId = entryId;
      this.dataCentre = dataCentre;
    }

    private Builder(Builder other) {
      this(other.entryId, other.dataCentre);
      host = other.host;
      callerPort = other.callerPort;
      adminPort = other.adminPort;
      controlPort = other.controlPort;
      peerSecret = other.peerSecret;
      adminToken = other.adminToken;
      workerThreads = other.workerThreads;
      silenceTimeout = other.silenceTimeout;
      balancerLag = other.balancerLag;
      shutdownLimit = other.shutdownLimit;
    }

    /** Sets the address to listen on. */
    public Builder host(String value) {
      host = value;
      return this;
    }

    /** Sets the port for callers. */
    public Builder callerPort(int value) {
      callerPort = value;
      return this;
    }

    /** Sets the port of the operators' API. */
    public Builder adminPort(int value) {
      adminPort = value;
      return this;
    }

    /** Sets the port for other entries. */
    public Builder controlPort(int value) {
      controlPort = value;
      return this;
    }

    /** Sets the shared secret with which entries authenticate to each other. */
    public Builder peerSecret(String value) {
      peerSecret = value;
      return this;
    }

    /** Sets the token that operators send; an empty token disables the operators' API. */
    public Builder adminToken(String value) {
      adminToken = value;
      return this;
    }

    /** Sets how many requests are handled concurrently. */
    public Builder workerThreads(int value) {
      workerThreads = value;
      return this;
    }

    /** Sets the time without a byte after which a backend server connection counts as dead. */
    public Builder silenceTimeout(Duration value) {
      silenceTimeout = value;
      return this;
    }

    /** Sets how long the load balancer may send requests after the entry is no longer ready. */
    public Builder balancerLag(Duration value) {
      balancerLag = value;
      return this;
    }

    /** Sets how long a shutdown waits for in-flight requests. */
    public Builder shutdownLimit(Duration value) {
      shutdownLimit = value;
      return this;
    }

    /** Returns the settings. */
    public EntrySettings build() {
      return new EntrySettings(new Builder(this));
    }
  }
}
