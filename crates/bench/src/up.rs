//! `up`: runs both deployments until Ctrl-C.

use crate::deploy::ALL;
use crate::procs::build_binary;
use crate::site::{Options, Site};
use std::io;

/// Starts both deployments, prints example commands, and waits for Ctrl-C.
pub async fn run() -> io::Result<()> {
    let binary = build_binary().await?;
    let mut sites = Vec::new();
    for deployment in ALL {
        sites.push(Site::start(deployment, Options::new(binary.clone(), deployment)).await?);
    }
    for site in &sites {
        print_examples(site, &binary.display().to_string());
    }
    println!("Running. Ctrl-C stops everything gracefully.");
    tokio::signal::ctrl_c().await?;
    for site in &mut sites {
        site.stop().await?;
    }
    println!("Stopped.");
    Ok(())
}

fn print_examples(site: &Site, binary: &str) {
    let Some(entry) = site.entry_addrs().first().copied() else {
        return;
    };
    let admin = crate::deploy::admin_addr(entry);
    let [model, plain] = site.docs.as_slice() else {
        return;
    };
    let settings = site.settings_file();
    let settings = settings.display();
    let route = plain.classes.iter().find_map(|c| c.routes.first());
    let route = route.map_or("/", |r| r.path.as_str());
    println!("# {}", site.deployment.name());
    println!(
        "curl -N http://{entry}/{}/v1/completions -H 'X-Tenant: ann' \
         -d '{{\"prompt\":\"where do I stand?\",\"max_tokens\":12,\"stream\":true}}'",
        model.service
    );
    println!(
        "curl http://{entry}/{}/v1/chat/completions -H 'X-Class: {}' \
         -d '{{\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}],\"max_tokens\":8}}'",
        model.service, model.classes[0].name
    );
    println!(
        "curl -i http://{entry}/{}{route} -H 'Idempotency-Key: k1' -d 'one, and only one'",
        plain.service
    );
    println!("curl http://{entry}/{}/status/7", plain.service);
    println!("curl http://{admin}/metrics");
    println!("{binary} status --settings {settings}");
    println!("{binary} show {} --settings {settings}", model.service);
    println!(
        "{binary} report --service {} --settings {settings}",
        plain.service
    );
    println!();
}
