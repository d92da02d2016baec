/** A simulated model engine with continuous batching and an OpenAI-compatible HTTP API. */
package org.guavagw.standins.engine;
