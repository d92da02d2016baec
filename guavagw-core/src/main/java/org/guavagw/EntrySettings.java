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

  /** Starts with the defaults for an entry of this name in this data centre. */
  public static Builder builder(String entryId, String dataCentre) {
    return new Builder(entryId, dataCentre);
  }

  /** Unique name of the entry. */
  public String entryId() {
    return values.entryId;
  }

  /** Data centre of the entry. */
  public String dataCentre() {
    return values.dataCentre;
  }

  /** Address that the entry listens on and that peers reach it at. */
  public String host() {
    return values.host;
  }

  /** Port for callers; 0 for any free one. */
  public int callerPort() {
    return values.callerPort;
  }

  /** Port for operators; 0 for any free one. */
  public int adminPort() {
    return values.adminPort;
  }

  /** Port for other entries; 0 for any free one. */
  public int controlPort() {
    return values.controlPort;
  }

  /** Secret that entries prove to one another. */
  public String peerSecret() {
    return values.peerSecret;
  }

  /** Token that operators send; an empty one closes the operators' API. */
  public String adminToken() {
    return values.adminToken;
  }

  /** Threads that handle requests, one each. */
  public int workerThreads() {
    return values.workerThreads;
  }

  /** Time without a byte after which a connection to a backend server counts as dead. */
  public Duration silenceTimeout() {
    return values.silenceTimeout;
  }

  /** How long the balancer may go on sending requests after readiness is off. */
  public Duration balancerLag() {
    return values.balancerLag;
  }

  /** How long a shutdown waits for requests under way. */
  public Duration shutdownLimit() {
    return values.shutdownLimit;
  }

  /** Collects settings. Not thread-safe. */
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

    /** Sets the port for operators. */
    public Builder adminPort(int value) {
      adminPort = value;
      return this;
    }

    /** Sets the port for other entries. */
    public Builder controlPort(int value) {
      controlPort = value;
      return this;
    }

    /** Sets the secret that entries prove to one another. */
    public Builder peerSecret(String value) {
      peerSecret = value;
      return this;
    }

    /** Sets the token that operators send. */
    public Builder adminToken(String value) {
      adminToken = value;
      return this;
    }

    /** Sets how many requests are handled at once. */
    public Builder workerThreads(int value) {
      workerThreads = value;
      return this;
    }

    /** Sets the time without a byte after which a connection counts as dead. */
    public Builder silenceTimeout(Duration value) {
      silenceTimeout = value;
      return this;
    }

    /** Sets how long the balancer may lag behind readiness. */
    public Builder balancerLag(Duration value) {
      balancerLag = value;
      return this;
    }

    /** Sets how long a shutdown waits for requests under way. */
    public Builder shutdownLimit(Duration value) {
      shutdownLimit = value;
      return this;
    }

    /** Gives the settings. */
    public EntrySettings build() {
      return new EntrySettings(new Builder(this));
    }
  }
}
