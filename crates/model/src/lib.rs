//! Configuration as a value: what operators publish, how it is checked, and what it becomes.
//!
//! This crate exists so that the node and `baobabctl check` judge a document by the same code. It
//! performs no I/O and knows neither time, peers nor the platform. It is an API border: its types
//! are shared by every other crate.

pub mod arena;
pub mod config;
pub mod document;
pub mod fault;
pub mod json;
pub mod limits;
pub mod profile;
pub mod read;
pub mod request;
pub mod route;
pub mod service;
mod table;
pub mod time;
